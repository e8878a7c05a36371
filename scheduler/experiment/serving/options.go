// Package serving measures request dispatching in a deterministic discrete-event
// simulation. It simulates executors with bounded slots under the load profiles of
// the deployments and compares the dispatcher with simpler ones as baselines.
package serving

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Dispatching names a dispatching strategy.
type Dispatching string

// Dispatching strategies. FIFO keeps one queue per service and host and respects
// the slots of the executors. Round robin sends each request at once, so that
// requests queue at the executors.
const (
	DispatchCranberrydrum Dispatching = "cranberrydrum"
	DispatchFIFO          Dispatching = "fifo"
	DispatchRoundRobin    Dispatching = "round_robin"
)

// Sharing names a way of sharing the slots of an executor between entry hosts.
type Sharing string

// Ways of sharing slots: fixed shares, shares that hosts lend to each other, all
// slots of an executor for one host, and all slots for every host.
const (
	ShareStatic     Sharing = "static"
	ShareLending    Sharing = "lending"
	ShareOwner      Sharing = "one_owner"
	ShareOptimistic Sharing = "optimistic"
)

// Fault is the fault of a tenth of the executors.
type Fault string

// Faults of executors: service times of five times the normal length, an error for
// each attempt, or no response at all.
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
	// Shape names a load profile.
	Shape  string
	Policy structs.Policy
	// Skew is the share of requests that arrive at the first host. 0 means that
	// all hosts receive equal shares.
	Skew float64
	// NoHedging, NoSizeSeparation and NoAdaptiveLimits disable rules of the
	// dispatcher.
	NoHedging, NoSizeSeparation, NoAdaptiveLimits bool
	// Label is appended to the name of the row.
	Label string
}

// Options selects the variants and the load that Run measures.
type Options struct {
	Seed uint64
	// Repeat is the number of seeds, counted from Seed, over which each row is
	// averaged; 0 means 1. Violations and refusals are summed.
	Repeat    int
	Executors int
	Hosts     int
	// Crest is the peak load as a multiple of the capacity.
	Crest    float64
	Variants []Variant
}

// Load curve and executor parameters. The load is baseLoad times the capacity. It
// rises to the peak within 2 s, stays there, and falls back within 2 s. Faults
// start at faultStart.
const (
	rampStart  = 8 * time.Second
	peakStart  = 10 * time.Second
	peakEnd    = 18 * time.Second
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

// DefaultOptions returns options that measure all variants.
func DefaultOptions() Options {
	return Options{Seed: 1, Executors: 20, Hosts: 2, Crest: 3, Variants: AllVariants()}
}

// AllVariants returns the variants of the full table: dispatching strategies with
// each fault, ways of sharing slots with even and skewed arrivals, policies, and
// the separation by size.
func AllVariants() []Variant {
	var list []Variant
	for _, profile := range []string{"korbfrisch", "remada"} {
		list = append(list, dispatchingVariants(profile)...)
	}
	list = append(list, sharingVariants()...)
	list = append(list, policyVariants()...)
	list = append(list, sizeVariants()...)
	return list
}

func dispatchingVariants(profile string) []Variant {
	var list []Variant
	for _, fault := range []Fault{FaultNone, FaultSlow, FaultFailing, FaultSilent} {
		for _, dispatching := range []Dispatching{DispatchCranberrydrum, DispatchFIFO, DispatchRoundRobin} {
			list = append(list, Variant{Dispatching: dispatching, Sharing: ShareStatic, Fault: fault, Shape: profile})
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
	peak, balanced, completion, unseparated := base, base, base, base
	peak.Policy, peak.Label = structs.Policy{Crest: 1}, "policy crest"
	balanced.Policy, balanced.Label = structs.Policy{Crest: 0.5, Completion: 0.5}, "policy balanced"
	completion.Policy, completion.Label = structs.Policy{Completion: 1}, "policy completion"
	unseparated.NoSizeSeparation, unseparated.Label = true, "no size separation"
	return []Variant{peak, balanced, completion, unseparated}
}

// sizeVariants returns variants that show the gain of learned request sizes where
// the class does not distinguish short from long work.
func sizeVariants() []Variant {
	base := Variant{Dispatching: DispatchCranberrydrum, Sharing: ShareStatic, Fault: FaultNone, Shape: "mislabelled"}
	peak, completion, unseparated, fifo := base, base, base, base
	peak.Policy, peak.Label = structs.Policy{Crest: 1}, "policy crest"
	completion.Policy, completion.Label = structs.Policy{Completion: 1}, "policy completion"
	unseparated.NoSizeSeparation, unseparated.Label = true, "no size separation"
	fifo.Dispatching = DispatchFIFO
	return []Variant{base, peak, completion, unseparated, fifo}
}
