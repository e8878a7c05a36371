// Package entry runs an entry host, which forwards customer requests to the leader of
// the control hosts. It keeps no state beyond a request, so that every reply comes
// from the leader.
package entry

import (
	"errors"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/control"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	// leaderPollInterval is the interval between polls for the leader.
	leaderPollInterval = 1 * time.Second
	leaderPollTimeout  = 500 * time.Millisecond
	// attemptTimeout bounds one attempt to call the leader. It allows for a sync on two
	// disks and a few round trips between regions.
	attemptTimeout = 1 * time.Second
	// retryDelay is the delay before the next attempt, while a leader is elected.
	retryDelay = 100 * time.Millisecond
	// maxMissedPolls is the number of consecutive failed polls from which on the host
	// reads the control hosts from its settings again.
	maxMissedPolls = 2
)

// Config describes an entry host.
type Config struct {
	Host     string
	PeerPort int
	// Seeds returns the control hosts in the current settings.
	Seeds    func() []string
	Logger   logr.Logger
	Observer Observer
}

// Observer counts the attempts of an entry host, for metrics.
type Observer interface {
	Attempt(operation, result string, took time.Duration)
}

// Node is an entry host.
type Node struct {
	cfg       Config
	log       logr.Logger
	transport *transport.Transport
	stop      chan struct{}
	wg        sync.WaitGroup
	// hasFoundLeader is set once a leader was found, and stays set.
	hasFoundLeader atomic.Bool
	draining       atomic.Bool
	// answerBy is the time on clock.Boot by which a stopping host ends all requests, or
	// 0.
	answerBy atomic.Int64

	mu     sync.Mutex
	hosts  []string
	leader string
	// nextHost selects the next of the hosts to call while no leader is known.
	nextHost int
}

// New returns an entry host.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, log: cfg.Logger, stop: make(chan struct{})}
	n.transport = transport.New(transport.Config{
		Host: cfg.Host, Listen: net.JoinHostPort(cfg.Host, strconv.Itoa(cfg.PeerPort)),
		HeartbeatInterval: control.PeerHeartbeatInterval, SilenceTimeout: control.PeerSilenceTimeout, Logger: cfg.Logger,
	}, rejectingHandler{})
	return n
}

// rejectingHandler refuses the calls of peers that take this host for a control host.
type rejectingHandler struct{}

// HandleMessage implements transport.Handler.
func (rejectingHandler) HandleMessage(string, transport.Kind, []byte) {}

// HandleCall implements transport.Handler.
func (rejectingHandler) HandleCall(_, method string, _ []byte, _ time.Duration) ([]byte, error) {
	return nil, structs.RefuseNotRun(structs.CodeInvalid, "an entry host does not answer "+method)
}

// Start starts the transport and the search for the leader.
func (n *Node) Start() error {
	if err := n.transport.Start(); err != nil {
		return err
	}
	n.addHosts(n.cfg.Seeds())
	n.wg.Add(1)
	go n.trackLeader()
	return nil
}

// Ready reports whether the host has found a leader and is not draining.
func (n *Node) Ready() bool { return n.hasFoundLeader.Load() && !n.draining.Load() }

// PeerConnections returns the number of connections with control hosts.
func (n *Node) PeerConnections() int { return n.transport.OpenConnections() }

// Drain makes Ready return false from now on. Requests in progress and later ones end
// by the given time on clock.Boot at the latest.
func (n *Node) Drain(answerBy time.Duration) {
	n.answerBy.Store(int64(answerBy))
	n.draining.Store(true)
}

// limit returns the deadline of a request, or the end of a stop if that is earlier.
func (n *Node) limit(deadline time.Duration) time.Duration {
	if answerBy := time.Duration(n.answerBy.Load()); answerBy != 0 {
		return min(deadline, answerBy)
	}
	return deadline
}

// Stop stops the host. Requests in progress end with a refusal.
func (n *Node) Stop() {
	close(n.stop)
	n.transport.Close()
	n.wg.Wait()
	n.transport.WaitCalls()
}

// addHosts makes the transport connect to control hosts that are not known yet.
func (n *Node) addHosts(hosts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, host := range hosts {
		if host == "" || slices.Contains(n.hosts, host) {
			continue
		}
		n.hosts = append(n.hosts, host)
		n.transport.AddPeer(transport.Peer{Host: host, Address: net.JoinHostPort(host, strconv.Itoa(n.cfg.PeerPort))})
	}
}

// trackLeader polls for the leader until the host stops. After maxMissedPolls failed
// polls it reads the settings again.
func (n *Node) trackLeader() {
	defer n.wg.Done()
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	missed := 0
	n.wait(retryDelay)
	for {
		if n.pollLeader() {
			missed = 0
			if !n.hasFoundLeader.Swap(true) {
				n.log.Info("entry host is ready")
			}
		} else if missed++; missed >= maxMissedPolls {
			n.addHosts(n.cfg.Seeds())
		}
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
	}
}

// pollLeader polls a control host for the leader and reports whether it named one.
func (n *Node) pollLeader() bool {
	host := n.callTarget()
	data, err := n.transport.Call(host, control.MethodHello, nil, leaderPollTimeout)
	if err != nil {
		n.skipHost(host)
		return false
	}
	var hello control.Hello
	if err := codec.Unmarshal(data, &hello); err != nil {
		n.log.Info("failed to decode the reply to a leader poll", "peer", host, "error", err.Error())
		return false
	}
	n.addHosts(hello.Hosts)
	if hello.Leader == "" {
		n.skipHost(host)
		return false
	}
	n.setLeader(hello.Leader)
	return true
}

// setLeader records the leader and connects to it.
func (n *Node) setLeader(leader string) {
	n.addHosts([]string{leader})
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != leader {
		n.log.Info("leader found", "leader", leader, "before", n.leader)
	}
	n.leader = leader
}

// skipHost makes the next call go to another control host. If the host was the
// leader, the leader is unknown afterwards.
func (n *Node) skipHost(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == host {
		n.log.Info("leader lost", "leader", host)
		n.leader = ""
	}
	n.nextHost++
}

// callTarget returns the host to call: the leader or, while none is known, one of the
// control hosts in turn, preferably a connected one.
func (n *Node) callTarget() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != "" {
		return n.leader
	}
	if len(n.hosts) == 0 {
		return ""
	}
	for range n.hosts {
		host := n.hosts[n.nextHost%len(n.hosts)]
		if n.transport.Connected(host) {
			return host
		}
		n.nextHost++
	}
	return n.hosts[n.nextHost%len(n.hosts)]
}

// Do forwards a request to the leader and retries until it gets a final reply or the
// timeout has passed. A refusal with the outcome "not run" holds for all attempts
// together.
func (n *Node) Do(r *admission.Request, timeout time.Duration) (*admission.Reply, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return nil, structs.RefuseNotRun(structs.CodeInvalid, err.Error())
	}
	startedAt := clock.Boot()
	deadline := startedAt + timeout
	mayHaveRun := false
	attempts := 0
	var last failure
	for {
		remaining := n.limit(deadline) - clock.Boot()
		if remaining <= 0 {
			break
		}
		attempts++
		host := n.callTarget()
		sentAt := clock.Boot()
		data, err := n.transport.Call(host, control.MethodCustomer, body, min(remaining, attemptTimeout))
		n.cfg.Observer.Attempt(r.Operation.String(), resultLabel(err), clock.Boot()-sentAt)
		if err == nil {
			return decodeReply(data)
		}
		last = n.classifyFailure(host, err, &mayHaveRun)
		if last.final {
			return nil, n.finalRefusal(r, last.refusal, mayHaveRun, attempts, startedAt)
		}
		if !n.wait(min(retryDelay, n.limit(deadline)-clock.Boot())) {
			break
		}
	}
	if last.refusal == nil {
		last.refusal = n.refuseUntried()
	}
	return nil, n.finalRefusal(r, last.refusal, mayHaveRun, attempts, startedAt)
}

// refuseUntried returns the refusal of a request for which no attempt was made.
func (n *Node) refuseUntried() *structs.Refusal {
	if n.draining.Load() {
		return structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	return structs.RefuseNotRun(structs.CodeOwnerUnreachable, "no control host could be reached")
}

// failure is the consequence of a failed attempt for the request.
type failure struct {
	refusal *structs.Refusal
	// final is set if a retry cannot give a better result.
	final bool
}

// classifyFailure decides whether a failed attempt is final, and selects another host
// for the next call if this host cannot serve it. It sets mayHaveRun if the attempt
// may have run.
func (n *Node) classifyFailure(host string, err error, mayHaveRun *bool) failure {
	var refused *structs.Refusal
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		n.skipHost(host)
		return failure{refusal: structs.RefuseNotRun(structs.CodeOwnerUnreachable, err.Error())}
	}
	if !errors.As(err, &refused) {
		*mayHaveRun = true
		n.skipHost(host)
		return failure{refusal: structs.RefuseUnknown(structs.CodeOutcomeUnknown, err.Error())}
	}
	if refused.Outcome != structs.OutcomeNotRun {
		*mayHaveRun = true
	}
	switch refused.Code {
	case structs.CodeNotLeader:
		if leader := refused.Message; leader != host && net.ParseIP(leader) != nil {
			n.setLeader(leader)
			return failure{refusal: refused}
		}
		n.skipHost(host)
		return failure{refusal: refused}
	case structs.CodeQuorumUnavailable, structs.CodeOwnerUnreachable, structs.CodeStopping, structs.CodeOutcomeUnknown:
		n.skipHost(host)
		return failure{refusal: refused}
	}
	return failure{refusal: refused, final: true}
}

// finalRefusal returns the refusal of a request after its last attempt, and logs it.
func (n *Node) finalRefusal(r *admission.Request, last *structs.Refusal, mayHaveRun bool, attempts int, startedAt time.Duration) *structs.Refusal {
	result := *last
	switch {
	case r.Operation == admission.OpRead:
		// A read changes no state, so it makes no difference whether an attempt
		// without a reply has run.
		result.Outcome = structs.OutcomeNotRun
	case mayHaveRun:
		result.Outcome = structs.OutcomeUnknown
	}
	if result.RetryAfter == 0 && result.Code != structs.CodeNeverRunnable {
		result.RetryAfter = control.DefaultRetryAfter
	}
	n.log.Info("request refused", "operation", r.Operation.String(), "path", r.Path, "code", string(result.Code), "outcome", string(result.Outcome),
		"attempts", attempts, "took_ms", (clock.Boot() - startedAt).Milliseconds(), "message", result.Message)
	return &result
}

// resultLabel returns the metrics label of the result of an attempt.
func resultLabel(err error) string {
	var refused *structs.Refusal
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refused):
		return string(refused.Code)
	}
	return "failed"
}

func decodeReply(data []byte) (*admission.Reply, error) {
	var reply admission.Reply
	if err := codec.Unmarshal(data, &reply); err != nil {
		return nil, structs.RefuseUnknown(structs.CodeInvalid, err.Error())
	}
	if reply.Phase > workload.Cancelled {
		return nil, structs.RefuseUnknown(structs.CodeInvalid, "the reply has no known phase")
	}
	return &reply, nil
}

// wait waits for d. It returns false if the host stops first.
func (n *Node) wait(d time.Duration) bool {
	return clock.Wait(d, n.stop)
}
