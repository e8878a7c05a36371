// Package serving measures the request dispatching of cranberrydrum in a
// deterministic event loop: fake executors with bounded slots, the load shapes
// of the deployments, and simpler ways of dispatching as baselines.
package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Dispatching is a way of dispatching requests.
type Dispatching string

// Ways of dispatching. FIFO is one queue per service and host with known
// slots; round robin sends at once and leaves the queue to the executors.
const (
	DispatchCranberrydrum Dispatching = "cranberrydrum"
	DispatchFIFO          Dispatching = "fifo"
	DispatchRoundRobin    Dispatching = "round_robin"
)

// Sharing is a way of sharing the slots of an executor between entry hosts.
type Sharing string

// Ways of sharing slots.
const (
	ShareStatic     Sharing = "static"
	ShareLending    Sharing = "lending"
	ShareOwner      Sharing = "one_owner"
	ShareOptimistic Sharing = "optimistic"
)

// Fault is what is wrong with a tenth of the executors.
type Fault string

// Faults of executors.
const (
	FaultNone    Fault = "none"
	FaultSlow    Fault = "slow"
	FaultFailing Fault = "failing"
	FaultSilent  Fault = "silent"
)

// Variant is one row of the table.
type Variant struct {
	Dispatching Dispatching
	Sharing     Sharing
	Fault       Fault
	Shape       string
	Policy      structs.Policy
	// Skew is the share of requests that arrive at the first host; 0 is even.
	Skew float64
	// NoHedging, NoSizeSeparation and NoAdaptiveLimits switch rules off.
	NoHedging, NoSizeSeparation, NoAdaptiveLimits bool
	// Label is added to the name of the row.
	Label string
}

// Options select what Run measures.
type Options struct {
	Seed uint64
	// Repeat is the number of seeds, counted from Seed, over which each row is
	// averaged; 0 means 1. Breaches and refusals are added up.
	Repeat    int
	Executors int
	Hosts     int
	// Crest is the load at the crest as a multiple of the capacity.
	Crest    float64
	Variants []Variant
}

// Times of the crest: the load rises within 2 s, stays, and falls within 2 s.
const (
	rampStart  = 8 * time.Second
	crestStart = 10 * time.Second
	crestEnd   = 18 * time.Second
	rampEnd    = 20 * time.Second
	loadEnd    = 34 * time.Second
	faultStart = 4 * time.Second
	baseLoad   = 0.6

	executorSlots       = 8
	executorConnections = 64
	attemptTimeout      = 10 * time.Second
	maxAttempts         = 3
	retryBudgetShare    = 0.1
	networkDelay        = 500 * time.Microsecond
	slowFactor          = 5
	faultyShare         = 0.1
	failAfter           = 5 * time.Millisecond
)

// DefaultOptions measures all variants.
func DefaultOptions() Options {
	return Options{Seed: 1, Executors: 20, Hosts: 2, Crest: 3, Variants: AllVariants()}
}

// AllVariants compares the ways of dispatching with each fault, the ways of
// sharing slots with even and skewed arrivals, and the policies.
func AllVariants() []Variant {
	var list []Variant
	for _, shape := range []string{"korbfrisch", "remada"} {
		list = append(list, dispatchingVariants(shape)...)
	}
	list = append(list, sharingVariants()...)
	list = append(list, policyVariants()...)
	list = append(list, sizeVariants()...)
	return list
}

func dispatchingVariants(shape string) []Variant {
	var list []Variant
	for _, fault := range []Fault{FaultNone, FaultSlow, FaultFailing, FaultSilent} {
		for _, way := range []Dispatching{DispatchCranberrydrum, DispatchFIFO, DispatchRoundRobin} {
			list = append(list, Variant{Dispatching: way, Sharing: ShareStatic, Fault: fault, Shape: shape})
		}
	}
	return list
}

func sharingVariants() []Variant {
	const skewed = 0.8
	var list []Variant
	for _, skew := range []float64{0, skewed} {
		for _, sharing := range []Sharing{ShareStatic, ShareLending, ShareOwner, ShareOptimistic} {
			v := Variant{Dispatching: DispatchCranberrydrum, Sharing: sharing, Fault: FaultNone, Shape: "korbfrisch", Skew: skew}
			v.Label = "even"
			if skew > 0 {
				v.Label = "skewed"
			}
			list = append(list, v)
		}
	}
	return list
}

func policyVariants() []Variant {
	base := Variant{Dispatching: DispatchCranberrydrum, Sharing: ShareStatic, Fault: FaultNone, Shape: "korbfrisch"}
	crest, balanced, completion, unseparated := base, base, base, base
	crest.Policy, crest.Label = structs.Policy{Crest: 1}, "policy crest"
	balanced.Policy, balanced.Label = structs.Policy{Crest: 0.5, Completion: 0.5}, "policy balanced"
	completion.Policy, completion.Label = structs.Policy{Completion: 1}, "policy completion"
	unseparated.NoSizeSeparation, unseparated.Label = true, "no size separation"
	return []Variant{crest, balanced, completion, unseparated}
}

// sizeVariants show what is gained by the learned sizes where the class does
// not tell short from long work.
func sizeVariants() []Variant {
	base := Variant{Dispatching: DispatchCranberrydrum, Sharing: ShareStatic, Fault: FaultNone, Shape: "mislabelled"}
	crest, completion, unseparated, fifo := base, base, base, base
	crest.Policy, crest.Label = structs.Policy{Crest: 1}, "policy crest"
	completion.Policy, completion.Label = structs.Policy{Completion: 1}, "policy completion"
	unseparated.NoSizeSeparation, unseparated.Label = true, "no size separation"
	fifo.Dispatching = DispatchFIFO
	return []Variant{base, crest, completion, unseparated, fifo}
}
