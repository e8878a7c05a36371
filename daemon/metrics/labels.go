package metrics

import (
	"strings"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// refusalCodes lists every code, so that each counter exists with the value 0
// from the start. If a counter appears with its first event, a rate over it
// misses that event.
var refusalCodes = []structs.Code{
	structs.CodeInvalid, structs.CodeUnauthorized, structs.CodeForbidden, structs.CodeNotFound,
	structs.CodeNoConfig, structs.CodeQueueFull, structs.CodeShed, structs.CodeDeadlineUnreachable,
	structs.CodeDeadlineExpired, structs.CodeNoBackend, structs.CodeBackendFailed, structs.CodeRetryBudgetExhausted,
	structs.CodeOwnerUnreachable, structs.CodeNotLeader, structs.CodeKeyMissing, structs.CodeKeyConflict,
	structs.CodeKeyExpired, structs.CodeKeyCapacity, structs.CodeKeyInProgress, structs.CodeOutcomeUnknown,
	structs.CodeStopping, structs.CodeCancelled, structs.CodeNeverRunnable, structs.CodeQuotaExceeded,
	structs.CodeVersionConflict, structs.CodeRulesInvalid, structs.CodeGuaranteeDoesNotFit, structs.CodeKeyHomesFixed,
	structs.CodeTooLarge, structs.CodeMembershipChange, structs.CodeQuorumUnavailable, structs.CodeInternal,
	structs.CodeJobConflict, structs.CodeCancelCapacity, structs.CodeUpgradeIncomplete,
}

var outcomes = []structs.Outcome{structs.OutcomeNotRun, structs.OutcomeUnknown}

var classes = []structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}

// retryableResults are the results of attempts that can cause a retry.
var retryableResults = []serving.Result{
	serving.ResultNotSent, serving.ResultTimeout, serving.ResultBroken,
	serving.ResultIncomplete, serving.ResultBackendError, serving.ResultWithdrawn,
}

// Events of requests that were promised a return time.
const (
	returnPromised = "promised"
	returnReturned = "returned"
	returnAnswered = "answered"
)

var returnEvents = []string{returnPromised, returnReturned, returnAnswered}

// Label values of the counters of the transport and the host: reasons for
// dropped frames by kind of frame, reasons for closed connections, and purposes
// of bytes sent to other regions.
var (
	dropReasons = map[string][]string{
		"raft":        {"queue full", "not delivered", "malformed"},
		"registry":    {"queue full", "malformed"},
		"host_status": {"queue full", "malformed"},
		"slots":       {"queue full", "malformed"},
		"call":        {"queue full"},
		"reply":       {"late", "connection closed"},
	}
	closeReasons       = []string{"closed", "silent", "malformed", "handshake", "read limit"}
	regionLinkPurposes = []string{"heartbeat", "raft", "registry", "host_status", "slots", "call", "reply"}
)

// labelValue replaces the spaces of a reason by underscores, as is usual in
// label values.
func labelValue(reason string) string { return strings.ReplaceAll(reason, " ", "_") }

// evacuationOrderLabel is the label of an order that starts or ends an evacuation.
func evacuationOrderLabel(active bool) string {
	if active {
		return "start"
	}
	return "finish"
}

// initHostSeries creates the series whose labels are known when a host starts.
func (m *Metrics) initHostSeries() {
	for _, code := range refusalCodes {
		for _, outcome := range outcomes {
			m.refusals.WithLabelValues(string(code), string(outcome))
		}
	}
	for kind, reasons := range dropReasons {
		for _, reason := range reasons {
			m.dropped.WithLabelValues(kind, labelValue(reason))
		}
	}
	for _, reason := range closeReasons {
		m.closed.WithLabelValues(labelValue(reason))
	}
	for _, purpose := range regionLinkPurposes {
		m.regionLinkBytes.WithLabelValues(purpose)
	}
}

// initServiceSeries creates the series of a service at its first event. The
// queue lengths of a service are set with each status, so the series exist soon
// after the service is configured.
func (m *Metrics) initServiceSeries(service string) {
	if _, exists := m.services.LoadOrStore(service, true); exists {
		return
	}
	for _, class := range classes {
		m.requests.WithLabelValues(service, string(class))
		m.duration.WithLabelValues(service, string(class))
		m.wait.WithLabelValues(service, string(class))
	}
	m.attempts.WithLabelValues(service, string(serving.ResultOK))
	for _, result := range retryableResults {
		m.attempts.WithLabelValues(service, string(result))
		m.retries.WithLabelValues(service, string(result))
	}
	for _, event := range returnEvents {
		m.returns.WithLabelValues(service, event)
	}
}
