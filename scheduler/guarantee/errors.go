package guarantee

import (
	"strconv"

	"cranberrydrum.dev/scheduler/structs"
)

// DoesNotFitError reports the first guarantee, by customer name, that does not fit
// the failure domain together with those before it.
type DoesNotFitError struct {
	Guarantee structs.Guarantee
	// Missing is the part of the guarantees that does not fit.
	Missing structs.Shape
}

// Error implements error.
func (e *DoesNotFitError) Error() string {
	return "guarantee of customer " + e.Guarantee.Customer + " in failure domain " +
		e.Guarantee.Domain + " does not fit: missing " + formatShape(e.Missing)
}

// UnreclaimableError reports a customer whose guaranteed shape cannot be
// reclaimed because the healthy workers do not suffice.
type UnreclaimableError struct {
	Customer string
	Missing  structs.Shape
}

// Error implements error.
func (e *UnreclaimableError) Error() string {
	return "guarantee of customer " + e.Customer + " cannot be reclaimed: missing " + formatShape(e.Missing)
}

// InvalidTopologyError reports a failure domain without a configured topology.
type InvalidTopologyError struct{ Domain string }

// Error implements error.
func (e *InvalidTopologyError) Error() string {
	return "failure domain " + e.Domain + " states no racks, workers or accelerators"
}

// formatShape returns a shape as text for an error message.
func formatShape(s structs.Shape) string {
	return strconv.Itoa(s.Racks) + " racks, " + strconv.Itoa(s.Workers) + " workers, " +
		strconv.Itoa(s.Accelerators) + " accelerators"
}
