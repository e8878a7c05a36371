package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Config describes one Dispatcher.
type Config struct {
	// Self is this entry host and Hosts are the entry hosts configured in its
	// failure domain, which divide the slots of the domain's executors.
	Self  string
	Hosts []string
	// SlotsFromLedger makes SlotsUpdated the only source of slots. Otherwise the
	// static share of this host applies to an executor until the first
	// SlotsUpdated for it.
	SlotsFromLedger bool
	// Domain is the failure domain of this host. Executors of other domains
	// are used only through Forward.
	Domain    string
	Service   structs.Service
	Classes   []structs.ClassRule
	Customers []structs.Customer
	Policy    structs.Policy
	// Seed makes jitter and tie breaking reproducible.
	Seed uint64
	// Hedging allows second attempts for idempotent urgent requests.
	Hedging bool
	// Forwarding lets requests that cannot be served here be offered to Forward.
	Forwarding bool
	// MaxQueued bounds the requests queued in all classes together; 0 means
	// the sum of the bounds of the classes.
	MaxQueued int
	// MaxQueuedBytes bounds the bodies that wait; 0 means the default.
	MaxQueuedBytes int
	// DisableSizeSeparation and DisableAdaptiveLimits switch single rules off
	// so that experiments can measure what they contribute.
	DisableSizeSeparation bool
	DisableAdaptiveLimits bool
}

// Defaults of limits that the rules leave out.
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

// indexOf treats unknown classes as bulk, the least important.
func indexOf(class structs.Class) classIndex {
	switch class {
	case structs.ClassUrgent:
		return urgent
	case structs.ClassNormal:
		return normal
	}
	return bulk
}
