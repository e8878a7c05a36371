package metrics

import (
	"strings"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// refusalCodes lists every code, so that each counter exists from the start: a
// rate over a counter that appears with its first event misses that event.
var refusalCodes = []structs.Code{
	structs.CodeInvalid, structs.CodeUnauthorized, structs.CodeForbidden, structs.CodeNotFound,
	structs.CodeNoConfig, structs.CodeQueueFull, structs.CodeShed, structs.CodeDeadline,
	structs.CodeExpired, structs.CodeNoBackend, structs.CodeBackendFailed, structs.CodeRetryBudget,
	structs.CodeOwnerUnreachable, structs.CodeNotLeader, structs.CodeKeyMissing, structs.CodeKeyConflict,
	structs.CodeKeyExpired, structs.CodeKeyCapacity, structs.CodeKeyInProgress, structs.CodeOutcomeUnknown,
	structs.CodeStopping, structs.CodeCancelled, structs.CodeNeverRunnable, structs.CodeQuota,
	structs.CodeVersionConflict, structs.CodeRulesInvalid, structs.CodeGuaranteeUnfit, structs.CodeKeyHomesFixed,
	structs.CodeTooLarge, structs.CodeMembershipChange, structs.CodeQuorumUnavailable,
}

var outcomes = []structs.Outcome{structs.OutcomeNotRun, structs.OutcomeUnknown}

var classes = []structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}

// failures are the results of attempts that can cause a retry.
var failures = []serving.Result{
	serving.ResultNotSent, serving.ResultTimeout, serving.ResultBroken,
	serving.ResultIncomplete, serving.ResultBackendError, serving.ResultWithdrawn,
}

// Reasons for which the transport and the host drop frames and connections.
var (
	dropReasons = map[string][]string{
		"raft":        {"queue full", "not delivered", "malformed"},
		"registry":    {"queue full", "malformed"},
		"host_status": {"queue full", "malformed"},
		"slots":       {"queue full", "malformed"},
		"call":        {"queue full"},
		"reply":       {"late", "connection closed"},
	}
	closeReasons = []string{"closed", "silent", "malformed", "handshake"}
	linkPurposes = []string{"heartbeat", "raft", "registry", "host_status", "slots", "call", "reply"}
)

// label spells a reason the way that label values are usually spelled.
func label(reason string) string { return strings.ReplaceAll(reason, " ", "_") }

// presetHost creates the series whose labels are known when a host starts.
func (m *Metrics) presetHost() {
	for _, code := range refusalCodes {
		for _, outcome := range outcomes {
			m.refusals.WithLabelValues(string(code), string(outcome))
		}
	}
	for kind, reasons := range dropReasons {
		for _, reason := range reasons {
			m.dropped.WithLabelValues(kind, label(reason))
		}
	}
	for _, reason := range closeReasons {
		m.closed.WithLabelValues(label(reason))
	}
	for _, purpose := range linkPurposes {
		m.spillBytes.WithLabelValues(purpose)
	}
}

// presetService creates the series of a service when it is first seen. The
// lengths of its queues are set with each status, so that is soon after the
// service is configured.
func (m *Metrics) presetService(service string) {
	if _, known := m.services.LoadOrStore(service, true); known {
		return
	}
	for _, class := range classes {
		m.requests.WithLabelValues(service, string(class))
		m.duration.WithLabelValues(service, string(class))
		m.wait.WithLabelValues(service, string(class))
	}
	m.attempts.WithLabelValues(service, string(serving.ResultOK))
	for _, result := range failures {
		m.attempts.WithLabelValues(service, string(result))
		m.retries.WithLabelValues(service, string(result))
	}
}
