package structs

import "time"

// Config is the accepted content of a rules file. It is immutable once parsed.
type Config struct {
	Regions    []Region
	Domains    []FailureDomain
	Hosts      []Host
	Links      []Link
	Customers  []Customer
	Guarantees []Guarantee
	Quotas     []Quota
	Services   []Service
	Classes    []ClassRule
	Grants     []Grant
	Tokens     []Token
	Keys       KeyPolicy
	Policy     Policy
}

// Source is the comment that every rule carries: who asked for it and why.
// Line is the 1-based line in the rules file.
type Source struct {
	Comment string
	Line    int
}

// Region is a group of failure domains joined by fast links.
type Region struct {
	Name   string
	Source Source
}

// FailureDomain is a zone that can be cut off from the others.
type FailureDomain struct {
	Name   string
	Region string
	// KeyHome marks the domain as a possible home of request keys. The set of
	// such domains never changes after the first accepted configuration.
	KeyHome bool
	// Racks, WorkersPerRack and AcceleratorsPerWorker state the expected
	// topology, which guarantees are checked against.
	Racks                 int
	WorkersPerRack        int
	AcceleratorsPerWorker int
	Source                Source
}

// Host is an entry host. The hosts of a failure domain that the rules list
// divide the slots of its executors among them.
type Host struct {
	Name   string
	Domain string
	// PeerAddress is where other hosts reach it.
	PeerAddress string
	// Disk tells that the host has a data folder.
	Disk   bool
	Source Source
}

// Link limits what requests may send across a pair of regions.
type Link struct {
	From, To string
	// BytesPerSecond is the capacity of the link in each direction.
	BytesPerSecond int64
	// SpillBytesPerSecond is the part of it that forwarded requests may use.
	SpillBytesPerSecond int64
	Source              Source
}

// Customer is a tenant with its own jobs, requests, guarantees and quotas.
type Customer struct {
	Name string
	// Weight is the customer's share when customers compete, at least 1.
	Weight int
	Source Source
}

// Shape is an amount of accelerators in whole buddy cells.
type Shape struct {
	Racks        int
	Workers      int
	Accelerators int
}

// Guarantee is a shape that can always be reclaimed for a customer in a failure domain.
type Guarantee struct {
	Customer string
	Domain   string
	Shape    Shape
	Source   Source
}

// Quota limits the accelerators that a customer may hold in a failure domain.
// An empty Domain applies to each failure domain.
type Quota struct {
	Customer     string
	Domain       string
	Accelerators int
	Source       Source
}

// Service is a named group of backend servers.
type Service struct {
	Name string
	// Slots and Connections are the limits of one executor over all hosts.
	Slots       int
	Connections int
	// RetryBudget is the number of retries allowed per first attempt, 0 to 1.
	RetryBudget float64
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// AttemptTimeout bounds one attempt.
	AttemptTimeout time.Duration
	Source         Source
}

// ClassRule sets the limits of one request class of a service.
type ClassRule struct {
	Service string
	Class   Class
	// ReservedSlots is the share of slots kept back for this class, 0 to 1.
	ReservedSlots float64
	// MaxQueue bounds the queue of one host, in requests.
	MaxQueue int
	// DefaultDeadline applies to requests that state none.
	DefaultDeadline time.Duration
	Source          Source
}

// Grant lets a customer use a service or submit jobs (Service empty) in a
// failure domain (empty: all).
type Grant struct {
	Customer string
	Service  string
	Domain   string
	// MaxPriority is the highest job priority that the customer may ask for.
	MaxPriority Priority
	Source      Source
}

// Role says what the holder of a token may do.
type Role string

// Roles of token holders.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RoleBackend  Role = "backend"
	RoleWorker   Role = "worker"
)

// Token admits the holder of a bearer token. Only its hash is stored.
type Token struct {
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the token.
	SHA256 string
	Role   Role
	// Customer limits a caller's token to one customer.
	Customer string
	Source   Source
}

// KeyPolicy bounds how many request keys are kept and for how long.
type KeyPolicy struct {
	Retention time.Duration
	MaxKeys   int
	Source    Source
}

// Policy moves the weight between the measures, each 0 to 1.
type Policy struct {
	// Crest weighs service at the crest and short-behind-long waiting.
	Crest float64
	// Completion weighs completion time and fragmentation.
	Completion float64
	Source     Source
}
