package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cranberrydrum.dev/daemon/control"
	"cranberrydrum.dev/scheduler/fleet"
)

// latencyBuckets are in seconds. They cover the range from a local round trip to
// the timeout of a client.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 3}

// roundBuckets are in seconds. They cover the range from a round without a change to one that
// holds up the messages of the log.
var roundBuckets = []float64{0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5}

// Platform holds the metrics of control hosts and entry hosts.
type Platform struct {
	registry  *prometheus.Registry
	calls     *prometheus.HistogramVec
	refused   *prometheus.CounterVec
	attempts  *prometheus.HistogramVec
	shed      *prometheus.CounterVec
	panics    *prometheus.CounterVec
	members   *prometheus.GaugeVec
	losses    prometheus.Gauge
	changes   *prometheus.CounterVec
	waiting   *prometheus.GaugeVec
	dropped   *prometheus.CounterVec
	ended     *prometheus.CounterVec
	suspected prometheus.Gauge
	atFault   prometheus.Counter

	rounds    prometheus.Histogram
	roundWait prometheus.Histogram
	// roundParts is the time of each part of the rounds, roundWork their work, roundsCut the
	// number of those that reached their bound, stepsLeft the steps that the last one did not try.
	roundParts *prometheus.CounterVec
	roundWork  prometheus.Counter
	roundsCut  prometheus.Counter
	stepsLeft  prometheus.Gauge
	taskSets   *prometheus.CounterVec
	delayed    prometheus.Counter
	searches   *prometheus.CounterVec

	intake        *prometheus.CounterVec
	evacuated     prometheus.Gauge
	evacuationAge prometheus.Gauge
	evacuations   *prometheus.CounterVec

	admissions      *prometheus.CounterVec
	becameAvailable *prometheus.CounterVec
	valueless       *prometheus.CounterVec
	predictions     *prometheus.CounterVec
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
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_connections_shed_total", Help: "Connections closed or refused for want of file descriptors.",
		}, []string{"direction", "event"}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_panics_total", Help: "Panics that ended one request or one call, by the place where they occurred.",
		}, []string{"where"}),
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cranberrydrum_log_members", Help: "Members of the replicated log as the leader sees them; 0 on other hosts.",
		}, []string{"kind", "state"}),
		losses: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cranberrydrum_log_further_losses", Help: "Voters that may be lost now without losing the majority, on the leader.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_log_membership_changes_total", Help: "Membership changes of the replicated log by operation, reason and result.",
		}, []string{"operation", "reason", "result"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cranberrydrum_gangs_waiting", Help: "Gangs that wait for executors, by reason, on the leader.",
		}, []string{"reason"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_reservations_dropped_total", Help: "Reservations dropped before their gang started, by reason.",
		}, []string{"reason"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_runs_ended_total", Help: "Runs that ended, by the evidence that the leader had for it.",
		}, []string{"evidence"}),
		rounds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cranberrydrum_round_seconds", Help: "Time of a step of the scheduler with a round, on the leader.", Buckets: roundBuckets,
		}),
		roundWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cranberrydrum_round_wait_seconds", Help: "Time for which a round was due before it began.", Buckets: roundBuckets,
		}),
		roundParts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_round_part_seconds_total", Help: "Time of the parts of rounds of the scheduler, on the leader.",
		}, []string{"part"}),
		roundWork: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrydrum_round_comparisons_total", Help: "Comparisons of waiting work with executors by rounds of the scheduler.",
		}),
		roundsCut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrydrum_rounds_cut_total", Help: "Rounds of the scheduler that reached the bound on their work and left the rest to the next one.",
		}),
		stepsLeft: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cranberrydrum_waiting_steps_left", Help: "Due steps that the last round did not try: equal ones have no room, or the round reached its bound.",
		}),
		taskSets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_task_sets_tried_total", Help: "Task sets that a round tried to place, by result.",
		}, []string{"result"}),
		delayed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrydrum_starts_delayed_total", Help: "Starts by rounds that were due before they began.",
		}),
		searches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_run_searches_total", Help: "Searches over all runs for runs to stop or executors to reserve, by result.",
		}, []string{"result"}),
		intake: newIntakeCounter(),
		suspected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cranberrydrum_suspected_executors", Help: "Executors that take no gangs and no urgent tasks while others fit, on the leader.",
		}),
		atFault: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cranberrydrum_jobs_at_fault_total", Help: "Jobs to which their failures on healthy executors were attributed.",
		}),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cranberrydrum_evacuated_domains", Help: "Failure domains in which nothing is started by order of an operator.",
		}),
		evacuationAge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cranberrydrum_evacuation_age_seconds", Help: "Time since the first of the evacuated failure domains was evacuated, or 0.",
		}),
		evacuations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_evacuation_orders_total", Help: "Evacuation orders by order and result.",
		}, []string{"order", "result"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_admission_decisions_total", Help: "Decisions about submitted jobs by priority and result.",
		}, []string{"priority", "result"}),
		becameAvailable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_admission_refused_in_time_total", Help: "Refused jobs whose turn would have come in time, by priority.",
		}, []string{"priority"}),
		valueless: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_admission_accepted_without_value_total", Help: "Accepted jobs that were not complete while they had value, by priority.",
		}, []string{"priority"}),
		predictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cranberrydrum_run_time_predictions_total", Help: "Measured run times by queue: held, over (predicted too long), under (longer than the bound).",
		}, []string{"queue", "result"}),
	}
	p.registry.MustRegister(p.calls, p.refused, p.attempts, p.shed, p.panics, p.members, p.losses, p.changes, p.waiting, p.dropped, p.ended,
		p.rounds, p.roundWait, p.roundParts, p.roundWork, p.roundsCut, p.stepsLeft, p.taskSets, p.delayed, p.searches, p.admissions, p.becameAvailable, p.valueless, p.predictions,
		p.suspected, p.atFault, p.intake, p.evacuated, p.evacuationAge, p.evacuations)
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

// SetMembers implements control.Observer.
func (p *Platform) SetMembers(c control.MemberCounts) {
	p.members.WithLabelValues("voter", "up").Set(float64(c.VotersUp))
	p.members.WithLabelValues("voter", "silent").Set(float64(c.VotersSilent))
	p.members.WithLabelValues("learner", "up").Set(float64(c.LearnersUp))
	p.members.WithLabelValues("learner", "silent").Set(float64(c.LearnersSilent))
	p.losses.Set(float64(c.FurtherLosses))
}

// CountMembershipChange implements control.Observer.
func (p *Platform) CountMembershipChange(operation, reason string, done bool) {
	result := "done"
	if !done {
		result = "not_done"
	}
	p.changes.WithLabelValues(operation, reason, result).Inc()
}

// ObserveGangs implements control.Observer.
func (p *Platform) ObserveGangs(c fleet.GangCounts) {
	c.EachWaiting(func(reason string, gangs int) { p.waiting.WithLabelValues(reason).Set(float64(gangs)) })
	c.EachDropped(func(reason string, n int) { p.dropped.WithLabelValues(reason).Add(float64(n)) })
}

// ObserveEnds implements control.Observer.
func (p *Platform) ObserveEnds(c fleet.EndCounts) {
	c.Each(func(evidence string, runs int) { p.ended.WithLabelValues(evidence).Add(float64(runs)) })
}

// ObserveOverload implements control.Observer.
func (p *Platform) ObserveOverload(c fleet.OverloadCounts) {
	p.atFault.Add(float64(c.JobsAtFault))
	if c.HasRound {
		p.suspected.Set(float64(c.SuspectedExecutors))
	}
}

// ObserveRound implements control.Observer.
func (p *Platform) ObserveRound(c fleet.RoundCounts, took time.Duration) {
	p.rounds.Observe(took.Seconds())
	c.EachPart(func(part string, took time.Duration) { p.roundParts.WithLabelValues(part).Add(took.Seconds()) })
	p.roundWork.Add(float64(c.Work))
	p.stepsLeft.Set(float64(c.Left))
	if c.HasLeft {
		p.roundsCut.Inc()
	}
	p.taskSets.WithLabelValues("placed").Add(float64(c.TaskSets - c.Unplaced))
	p.taskSets.WithLabelValues("unplaced").Add(float64(c.Unplaced))
	p.searches.WithLabelValues("made").Add(float64(c.Searches))
	p.searches.WithLabelValues("delayed").Add(float64(c.DelayedSearches))
	if c.Waited > 0 {
		p.roundWait.Observe(c.Waited.Seconds())
		p.delayed.Add(float64(c.Starts))
	}
}

// SetEvacuations implements control.Observer.
func (p *Platform) SetEvacuations(domains int, oldest time.Duration) {
	p.evacuated.Set(float64(domains))
	p.evacuationAge.Set(oldest.Seconds())
}

// CountEvacuationOrder implements control.Observer.
func (p *Platform) CountEvacuationOrder(active bool, result string) {
	p.evacuations.WithLabelValues(evacuationOrderLabel(active), result).Inc()
}

// ObserveAdmissions implements control.Observer.
func (p *Platform) ObserveAdmissions(c fleet.AdmissionCounts) {
	c.EachVerdict(func(priority, verdict string, jobs int) {
		p.admissions.WithLabelValues(priority, verdict).Add(float64(jobs))
	})
	c.EachError(func(priority string, becameAvailable, valueless int) {
		p.becameAvailable.WithLabelValues(priority).Add(float64(becameAvailable))
		p.valueless.WithLabelValues(priority).Add(float64(valueless))
	})
}

// ObservePredictions implements control.Observer.
func (p *Platform) ObservePredictions(c fleet.PredictionCounts) {
	c.Each(func(queue, result string, tasks int) {
		p.predictions.WithLabelValues(queue, result).Add(float64(tasks))
	})
}

// CountShed implements descriptors.Observer.
func (p *Platform) CountShed(direction, event string) { p.shed.WithLabelValues(direction, event).Inc() }

// CountPanic implements panics.Observer.
func (p *Platform) CountPanic(where string) { p.panics.WithLabelValues(where).Inc() }

// CountIntake implements intake.Observer.
func (p *Platform) CountIntake(reason string) { p.intake.WithLabelValues(reason).Inc() }

// Attempt implements entry.Observer.
func (p *Platform) Attempt(operation, result string, elapsed time.Duration) {
	p.attempts.WithLabelValues(operation, result).Observe(elapsed.Seconds())
}
