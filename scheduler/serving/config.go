package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Config describes one Dispatcher.
type Config struct {
	// Self is the name of this entry host. Hosts are all entry hosts configured
	// in its failure domain; the slots of the domain's executors are divided
	// between them.
	Self  string
	Hosts []string
	// SlotsFromLedger makes SlotsUpdated the only source of slots. Otherwise this
	// host uses its static share of an executor until the first SlotsUpdated for
	// that executor.
	SlotsFromLedger bool
	// Domain is the failure domain of this host. Executors of other domains
	// are used only through Forward.
	Domain    string
	Service   structs.Service
	Classes   []structs.ClassRule
	Customers []structs.Customer
	Policy    structs.Policy
	// Seed makes jitter and tie-breaking reproducible.
	Seed uint64
	// Hedging allows second attempts for idempotent urgent requests.
	Hedging bool
	// Forwarding lets requests that cannot be served here be offered to Forward.
	Forwarding bool
	// MaxQueued bounds the requests queued in all classes together; 0 means
	// the sum of the bounds of the classes.
	MaxQueued int
	// MaxQueuedBytes bounds the total size of the queued bodies; 0 means the
	// default.
	MaxQueuedBytes int
	// DisableSizeSeparation and DisableAdaptiveLimits each switch off one rule,
	// so that experiments can measure its effect.
	DisableSizeSeparation bool
	DisableAdaptiveLimits bool
}

// Defaults for limits that the configuration does not set.
const (
	defaultMaxQueue       = 1000
	defaultMaxQueuedBytes = 64 << 20
	defaultDeadline       = 30 * time.Second
	defaultAttemptTimeout = 10 * time.Second
	defaultMaxAttempts    = 3
	defaultRetryBudget    = 0.1
)

// classIndex orders the classes; lower is more important.
type classIndex int

const (
	urgent classIndex = iota
	normal
	bulk
	classCount
)

var classNames = [classCount]structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}

// indexOf returns the index of a class. Unknown classes count as bulk, the least
// important class.
func indexOf(class structs.Class) classIndex {
	switch class {
	case structs.ClassUrgent:
		return urgent
	case structs.ClassNormal:
		return normal
	}
	return bulk
}
