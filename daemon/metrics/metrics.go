// Package metrics defines the Prometheus metrics of a host.
package metrics

import (
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const namespace = "cranberrydrum"

// Metrics are the counters, gauges and histograms of one host.
type Metrics struct {
	Registry *prometheus.Registry

	requests        *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	returns         *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	duration        *prometheus.HistogramVec
	wait            *prometheus.HistogramVec
	frames          *prometheus.CounterVec
	frameBytes      *prometheus.CounterVec
	dropped         *prometheus.CounterVec
	closed          *prometheus.CounterVec
	regionLinkBytes *prometheus.CounterVec
	configVersion   prometheus.Gauge
	fragmentation   *prometheus.GaugeVec
	leader          *prometheus.GaugeVec
	term            *prometheus.GaugeVec
	queued          *prometheus.GaugeVec
	roundSeconds    prometheus.Histogram
	keys            *prometheus.GaugeVec
	panics          *prometheus.CounterVec
	evacuated       *prometheus.GaugeVec
	evacuationAge   *prometheus.GaugeVec
	evacuations     *prometheus.CounterVec

	// services is the set of services whose series exist.
	services sync.Map
	// frameCounters maps frameKey to *frameCounters.
	frameCounters sync.Map
	mu            sync.Mutex
	// retryTotals are the totals of the last call of Retries for each service.
	retryTotals map[string]map[serving.Result]uint64
	// returnTotals are those of the last call of SetReturnTotals.
	returnTotals map[string]map[string]uint64
	intake       *prometheus.CounterVec
}

// secondsBuckets are in seconds. They cover the range from a short request such
// as a route check (5 ms) to a straggler (80 s).
var secondsBuckets = prometheus.ExponentialBuckets(0.005, 2, 15)

// New returns the metrics of one host in a new registry.
func New() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry(), retryTotals: map[string]map[serving.Result]uint64{}, returnTotals: map[string]map[string]uint64{}}
	m.requests = m.counter("requests_total", "Requests answered with the backend server's response.", "service", "class")
	m.refusals = m.counter("refusals_total", "Requests refused, by code and outcome.", "code", "outcome")
	m.retries = m.counter("retries_total", "Attempts after the first one, by the reason of the previous failure.", "service", "reason")
	m.returns = m.counter("returns_total", "Refused requests that were promised a return time, that returned then, and that were answered then.", "service", "event")
	m.attempts = m.counter("attempts_total", "Attempts sent to backend servers, by result.", "service", "result")
	m.duration = m.histogram("request_duration_seconds", "Time from arrival to answer.", "service", "class")
	m.wait = m.histogram("queue_wait_seconds", "Time from arrival to the first attempt.", "service", "class")
	m.frames = m.counter("peer_frames_total", "Frames exchanged with other hosts.", "peer", "kind", "direction")
	m.frameBytes = m.counter("peer_bytes_total", "Bytes exchanged with other hosts.", "peer", "kind", "direction")
	m.dropped = m.counter("peer_frames_dropped_total", "Frames dropped, by reason.", "kind", "reason")
	m.closed = m.counter("peer_connections_closed_total", "Connections to other hosts that ended, by reason.", "reason")
	m.regionLinkBytes = m.counter("region_link_bytes_total", "Bytes sent to other regions, by purpose.", "purpose")
	m.fragmentation = m.gauge("fragmentation_ratio", "Part of the largest gang that the free accelerators would allow in one rack, but that does not fit.", "domain")
	m.leader = m.gauge("group_leader", "1 if this host leads the replicated log.", "group")
	m.term = m.gauge("group_term", "Term of the replicated log.", "group")
	m.queued = m.gauge("queue_length", "Requests waiting on this host.", "service", "class")
	m.keys = m.gauge("request_keys", "Request keys recorded in the log of the failure domain.", "state")
	m.panics = m.counter("panics_total", "Panics that ended one request or one call, by the place where they occurred.", "where")
	m.evacuated = m.gauge("domain_evacuated", "1 if no gang is started in the failure domain by order of an operator, on the owner.", "domain")
	m.evacuationAge = m.gauge("domain_evacuation_age_seconds", "Time since the evacuation of the failure domain, or 0, on the owner.", "domain")
	m.evacuations = m.counter("evacuation_orders_total", "Evacuation orders by order and result.", "order", "result")
	m.configVersion = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "config_version",
		Help:      "Version of the configuration in force on this host.",
	})
	m.roundSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "scheduling_round_duration_seconds",
		Help:      "Duration of scheduling rounds.",
		Buckets:   prometheus.ExponentialBuckets(0.00005, 2, 14),
	})
	m.intake = newIntakeCounter()
	m.Registry.MustRegister(m.configVersion, m.roundSeconds, m.intake)
	m.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.initHostSeries()
	return m
}

func (m *Metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.Registry.MustRegister(c)
	return c
}

func (m *Metrics) gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.Registry.MustRegister(g)
	return g
}

func (m *Metrics) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   secondsBuckets,
	}, labels)
	m.Registry.MustRegister(h)
	return h
}

// CountIntake implements intake.Observer.
func (m *Metrics) CountIntake(reason string) { m.intake.WithLabelValues(reason).Inc() }

// CountPanic implements panics.Observer.
func (m *Metrics) CountPanic(where string) { m.panics.WithLabelValues(where).Inc() }

// ObserveRequest counts a request that was answered with the response of a backend
// server, and records the time from its arrival.
func (m *Metrics) ObserveRequest(service string, class structs.Class, elapsed time.Duration) {
	m.initServiceSeries(service)
	m.requests.WithLabelValues(service, string(class)).Inc()
	m.duration.WithLabelValues(service, string(class)).Observe(elapsed.Seconds())
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(r *structs.Refusal) {
	m.refusals.WithLabelValues(string(r.Code), string(r.Outcome)).Inc()
}

// ObserveQueueWait records the time that a request spent in the queue.
func (m *Metrics) ObserveQueueWait(service string, class structs.Class, wait time.Duration) {
	m.initServiceSeries(service)
	m.wait.WithLabelValues(service, string(class)).Observe(wait.Seconds())
}

// SetRetryTotals sets the number of retries by the result that caused them, as
// counted by the dispatcher of a service. A total that is lower than in the
// last call comes from a new dispatcher, which counts from 0.
func (m *Metrics) SetRetryTotals(service string, totals map[serving.Result]uint64) {
	m.initServiceSeries(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	addTotals(m.retries, service, m.retryTotals, totals)
}

// SetReturnTotals sets the numbers of promised, returned and answered requests, as
// counted by the dispatcher of a service. Lower totals are treated as in
// SetRetryTotals.
func (m *Metrics) SetReturnTotals(service string, c serving.Counters) {
	m.initServiceSeries(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	addTotals(m.returns, service, m.returnTotals, map[string]uint64{
		returnPromised: c.Promised, returnReturned: c.Returned, returnAnswered: c.ReturnsAnswered,
	})
}

// addTotals adds the increase of each total since the last call to a counter, and
// records the totals in previous.
func addTotals[K ~string](counter *prometheus.CounterVec, service string, previous map[string]map[K]uint64, totals map[K]uint64) {
	for label, total := range totals {
		previousTotal := previous[service][label]
		if total < previousTotal {
			previousTotal = 0
		}
		counter.WithLabelValues(service, string(label)).Add(float64(total - previousTotal))
	}
	previous[service] = maps.Clone(totals)
}

// CountAttempt counts a finished attempt.
func (m *Metrics) CountAttempt(service, result string) {
	m.initServiceSeries(service)
	m.attempts.WithLabelValues(service, result).Inc()
}

// FrameSent counts a frame sent to another host.
func (m *Metrics) FrameSent(peer, kind string, bytes int) { m.frame(peer, kind, "sent", bytes) }

// FrameReceived counts a frame received from another host.
func (m *Metrics) FrameReceived(peer, kind string, bytes int) { m.frame(peer, kind, "received", bytes) }

func (m *Metrics) frame(peer, kind, direction string, bytes int) {
	key := frameKey{peer, kind, direction}
	cached, ok := m.frameCounters.Load(key)
	if !ok {
		cached, _ = m.frameCounters.LoadOrStore(key, &frameCounters{
			frames: m.frames.WithLabelValues(peer, kind, direction),
			bytes:  m.frameBytes.WithLabelValues(peer, kind, direction),
		})
	}
	counters := cached.(*frameCounters)
	counters.frames.Inc()
	counters.bytes.Add(float64(bytes))
}

// frameKey identifies the counters of frames with the same labels. The counters
// are cached, because the lookup by labels took 8 % of the CPU time of an idle
// host that owns a failure domain.
type frameKey struct{ peer, kind, direction string }

// frameCounters are the cached counters for one frameKey.
type frameCounters struct{ frames, bytes prometheus.Counter }

// FrameDropped counts a frame that was not delivered.
func (m *Metrics) FrameDropped(kind, reason string) {
	m.dropped.WithLabelValues(kind, labelValue(reason)).Inc()
}

// ConnectionClosed counts a connection to another host that ended.
func (m *Metrics) ConnectionClosed(reason string) {
	m.closed.WithLabelValues(labelValue(reason)).Inc()
}

// RegionLinkBytes counts bytes sent to another region.
func (m *Metrics) RegionLinkBytes(purpose string, bytes int) {
	m.regionLinkBytes.WithLabelValues(purpose).Add(float64(bytes))
}

// SetConfigVersion sets the version of the configuration in force.
func (m *Metrics) SetConfigVersion(version uint64) { m.configVersion.Set(float64(version)) }

// SetGroup sets whether this host leads a replicated log, and the term of the
// log.
func (m *Metrics) SetGroup(group string, isLeader bool, term uint64) {
	value := 0.0
	if isLeader {
		value = 1
	}
	m.leader.WithLabelValues(group).Set(value)
	m.term.WithLabelValues(group).Set(float64(term))
}

// SetFragmentation sets the fragmentation ratio of a failure domain, from 0 to 1.
func (m *Metrics) SetFragmentation(domain string, ratio float64) {
	m.fragmentation.WithLabelValues(domain).Set(ratio)
}

// SetQueued sets the number of queued requests of a service and class.
func (m *Metrics) SetQueued(service string, class structs.Class, length int) {
	m.initServiceSeries(service)
	m.queued.WithLabelValues(service, string(class)).Set(float64(length))
}

// SetKeys sets the number of recorded request keys in a state.
func (m *Metrics) SetKeys(state string, count int) {
	m.keys.WithLabelValues(state).Set(float64(count))
}

// ObserveRound records the duration of a scheduling round.
func (m *Metrics) ObserveRound(elapsed time.Duration) { m.roundSeconds.Observe(elapsed.Seconds()) }

// SetEvacuation sets whether a failure domain is evacuated and since when.
func (m *Metrics) SetEvacuation(domain string, evacuated bool, age time.Duration) {
	value := 0.0
	if evacuated {
		value = 1
	}
	m.evacuated.WithLabelValues(domain).Set(value)
	m.evacuationAge.WithLabelValues(domain).Set(age.Seconds())
}

// RemoveEvacuation removes the series of a failure domain that this host no longer
// owns, so that they do not keep an old value.
func (m *Metrics) RemoveEvacuation(domain string) {
	m.evacuated.DeleteLabelValues(domain)
	m.evacuationAge.DeleteLabelValues(domain)
}

// CountEvacuationOrder counts an evacuation order that this host received.
func (m *Metrics) CountEvacuationOrder(active bool, result string) {
	m.evacuations.WithLabelValues(evacuationOrderLabel(active), result).Inc()
}
