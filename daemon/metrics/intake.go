package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"cranberrydrum.dev/daemon/intake"
)

// newIntakeCounter returns the counter of requests that did not run because of a limit for
// clients. Each reason exists from the start, so that a rate includes its first event.
func newIntakeCounter() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cranberrydrum_intake_refusals_total", Help: "Requests refused or dropped before they ran, by reason.",
	}, []string{"reason"})
	for _, reason := range intake.Reasons {
		c.WithLabelValues(string(reason))
	}
	return c
}
