package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// latencyBuckets are in seconds. They cover the range from a local round trip to
// the timeout of a client.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3}

// Platform holds the metrics of control hosts and entry hosts.
type Platform struct {
	registry *prometheus.Registry
	calls    *prometheus.HistogramVec
	refused  *prometheus.CounterVec
	attempts *prometheus.HistogramVec
}

// NewPlatform returns the metrics of one process in a new registry.
func NewPlatform() *Platform {
	p := &Platform{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cranberrydrum_executor_call_seconds", Help: "Time of calls to executors by kind and verdict.", Buckets: latencyBuckets,
		}, []string{"kind", "verdict"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_refusals_total", Help: "Refused calls by method and reason.",
		}, []string{"method", "code"}),
		attempts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cranberrydrum_attempt_seconds", Help: "Time of attempts at the leader by operation and result.", Buckets: latencyBuckets,
		}, []string{"operation", "result"}),
	}
	p.registry.MustRegister(p.calls, p.refused, p.attempts)
	return p
}

// Registry returns the registry of the metrics, for an HTTP handler.
func (p *Platform) Registry() *prometheus.Registry { return p.registry }

// Call implements control.Observer.
func (p *Platform) Call(kind, verdict string, elapsed time.Duration) {
	p.calls.WithLabelValues(kind, verdict).Observe(elapsed.Seconds())
}

// CountRefusal implements control.Observer.
func (p *Platform) CountRefusal(method, code string) { p.refused.WithLabelValues(method, code).Inc() }

// Attempt implements entry.Observer.
func (p *Platform) Attempt(operation, result string, elapsed time.Duration) {
	p.attempts.WithLabelValues(operation, result).Observe(elapsed.Seconds())
}
