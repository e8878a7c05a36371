package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Dispatcher decides about the requests of one service on one entry host. It
// is not safe for concurrent use.
type Dispatcher struct {
	cfg Config
}

// NewDispatcher returns a Dispatcher without executors and requests.
func NewDispatcher(cfg Config) *Dispatcher { return &Dispatcher{cfg: cfg} }

// SetRules puts a changed configuration in force for queued and new requests.
func (d *Dispatcher) SetRules(service structs.Service, classes []structs.ClassRule, customers []structs.Customer, policy structs.Policy) {
	d.cfg.Service = service
	d.cfg.Classes = classes
	d.cfg.Customers = customers
	d.cfg.Policy = policy
}

// Step handles one event and returns what has to be done, in order. Due timers
// are handled first.
func (d *Dispatcher) Step(now time.Duration, ev Event) []Effect { return nil }

// NextWake returns when the Dispatcher needs a Tick at the latest.
func (d *Dispatcher) NextWake() (time.Duration, bool) { return 0, false }

// Snapshot returns the state for status pages and metrics.
func (d *Dispatcher) Snapshot() Snapshot { return Snapshot{} }
