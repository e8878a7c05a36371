package structs

import "time"

// Config is the parsed content of a rules file. It must not be modified after
// parsing.
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

// Source tells where a rule comes from.
type Source struct {
	// Comment is the comment of the rule: who asked for it and why.
	Comment string
	// Line is the 1-based line in the rules file.
	Line int
}

// Region is a group of failure domains joined by fast links.
type Region struct {
	Name   string
	Source Source
}

// FailureDomain is a zone that can fail or lose its connection to other zones
// as a whole.
type FailureDomain struct {
	Name   string
	Region string
	// KeyHome allows the replicated log of the failure domain to store request
	// keys. The first accepted configuration fixes the set of these domains.
	KeyHome bool
	// Racks, WorkersPerRack and AcceleratorsPerWorker are the expected topology.
	// Guarantees are checked against it.
	Racks                 int
	WorkersPerRack        int
	AcceleratorsPerWorker int
	Source                Source
}

// Host is an entry host. The hosts that the rules list for a failure domain
// divide the slots of its executors among themselves.
type Host struct {
	Name   string
	Domain string
	// PeerAddress is the address at which other hosts reach this host.
	PeerAddress string
	// Disk is true if the host has a data directory.
	Disk   bool
	Source Source
}

// Link limits the traffic of forwarded requests between two regions.
type Link struct {
	From, To string
	// BytesPerSecond is the capacity of the link in each direction.
	BytesPerSecond int64
	// SpillBytesPerSecond is the part of the capacity that forwarded requests
	// may use.
	SpillBytesPerSecond int64
	Source              Source
}

// Customer is a tenant with its own jobs, requests, guarantees and quotas.
type Customer struct {
	Name string
	// Weight is the customer's relative share when customers compete, at least 1.
	Weight int
	Source Source
}

// Shape is an amount of accelerators: whole racks, whole workers and single
// accelerators. The single accelerators form buddy cells whose sizes are the
// distinct powers of two that add up to their number.
type Shape struct {
	Racks        int
	Workers      int
	Accelerators int
}

// Guarantee is a shape that can always be reclaimed for a customer in a failure
// domain.
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
	// Slots and Connections limit one executor, counted over all hosts.
	Slots       int
	Connections int
	// RetryBudget is the number of retries allowed per first attempt, 0 to 1.
	RetryBudget float64
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts    int
	AttemptTimeout time.Duration
	Source         Source
}

// ClassRule sets the limits of one request class of a service.
type ClassRule struct {
	Service string
	Class   Class
	// ReservedSlots is the share of slots that are reserved for this class, 0 to 1.
	ReservedSlots float64
	// MaxQueue limits the queue of one host, in requests.
	MaxQueue int
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline time.Duration
	Source          Source
}

// Grant allows a customer to use a service in a failure domain. If Service is
// empty, the grant is for submitting jobs. If Domain is empty, the grant is for
// all failure domains.
type Grant struct {
	Customer string
	Service  string
	Domain   string
	// MaxPriority is the highest priority of a job that the customer may submit.
	MaxPriority Priority
	Source      Source
}

// Role determines the operations that the holder of a token may perform.
type Role string

// Roles of token holders.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
	RoleBackend  Role = "backend"
	RoleWorker   Role = "worker"
)

// Token authorizes the holder of a bearer token. Only the hash of the bearer
// token is stored.
type Token struct {
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the token.
	SHA256 string
	Role   Role
	// Customer is the only customer for which the token of a caller is valid.
	Customer string
	Source   Source
}

// KeyPolicy limits the stored request keys.
type KeyPolicy struct {
	// Retention is how long the result for a request key is kept.
	Retention time.Duration
	// MaxKeys limits the keys stored in one failure domain.
	MaxKeys int
	Source  Source
}

// Policy sets the relative weights of the scheduling objectives, each 0 to 1.
type Policy struct {
	// Crest is the weight of service at peak demand and of avoiding head-of-line
	// blocking.
	Crest float64
	// Completion is the weight of completion time and fragmentation.
	Completion float64
	Source     Source
}
