// Package entry passes the calls of customers to the control host that leads.
// It keeps no state beyond one request, so that whatever it answers comes from
// the leader.
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
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// helloInterval is the time between two questions for the leader.
	helloInterval = 1 * time.Second
	helloTimeout  = 500 * time.Millisecond
	// attemptTimeout bounds one attempt at the leader: a sync on two disks and
	// a few round trips between regions.
	attemptTimeout = 1 * time.Second
	// retryPause is the pause before the next attempt, while a leader is elected.
	retryPause = 100 * time.Millisecond
	// lostPolls is how many questions without an answer make the host read its
	// settings again.
	lostPolls = 2
)

// Config describes an entry host.
type Config struct {
	Host     string
	PeerPort int
	// Seeds returns the control hosts known from the settings as they are now.
	Seeds    func() []string
	Logger   logr.Logger
	Observer Observer
}

// Observer counts what an entry host does.
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
	known     atomic.Bool
	draining  atomic.Bool

	mu     sync.Mutex
	hosts  []string
	leader string
	next   int
}

// New returns an entry host.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg, log: cfg.Logger, stop: make(chan struct{})}
	n.transport = transport.New(transport.Config{
		Host: cfg.Host, Listen: net.JoinHostPort(cfg.Host, strconv.Itoa(cfg.PeerPort)),
		HeartbeatInterval: control.PeerHeartbeatInterval, SilenceTimeout: control.PeerSilenceTimeout, Logger: cfg.Logger,
	}, refuser{})
	return n
}

// refuser answers peers that take this host for a control host.
type refuser struct{}

// HandleMessage implements transport.Handler.
func (refuser) HandleMessage(string, transport.Kind, []byte) {}

// HandleCall implements transport.Handler.
func (refuser) HandleCall(_, method string, _ []byte, _ time.Duration) ([]byte, error) {
	return nil, structs.NotRun(structs.CodeInvalid, "an entry host does not answer "+method)
}

// Start begins to look for the leader.
func (n *Node) Start() error {
	if err := n.transport.Start(); err != nil {
		return err
	}
	n.learn(n.cfg.Seeds())
	n.wg.Add(1)
	go n.follow()
	return nil
}

// Ready reports whether the host has found the system and is not stopping.
func (n *Node) Ready() bool { return n.known.Load() && !n.draining.Load() }

// Drain makes the host report that it is not ready, for good.
func (n *Node) Drain() { n.draining.Store(true) }

// Stop ends the host. Requests must have ended.
func (n *Node) Stop() {
	close(n.stop)
	n.transport.Close()
	n.wg.Wait()
	n.transport.Wait()
}

// learn begins to dial control hosts.
func (n *Node) learn(hosts []string) {
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

// follow keeps track of the leader.
func (n *Node) follow() {
	defer n.wg.Done()
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	missed := 0
	n.wait(retryPause)
	for {
		if n.ask() {
			missed = 0
			if !n.known.Swap(true) {
				n.log.Info("ready")
			}
		} else if missed++; missed >= lostPolls {
			n.learn(n.cfg.Seeds())
		}
		select {
		case <-n.stop:
			return
		case <-ticker.C:
		}
	}
}

// ask asks a control host for the leader and reports whether one is known.
func (n *Node) ask() bool {
	host := n.target()
	data, err := n.transport.Call(host, control.MethodHello, nil, helloTimeout)
	if err != nil {
		n.lost(host)
		return false
	}
	var hello control.Hello
	if err := codec.Unmarshal(data, &hello); err != nil {
		n.log.Info("an answer cannot be decoded", "peer", host, "error", err.Error())
		return false
	}
	n.learn(hello.Hosts)
	if hello.Leader == "" {
		n.lost(host)
		return false
	}
	n.found(hello.Leader)
	return true
}

func (n *Node) found(leader string) {
	n.learn([]string{leader})
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != leader {
		n.log.Info("leader found", "leader", leader, "before", n.leader)
	}
	n.leader = leader
}

// lost makes the next call go to another control host.
func (n *Node) lost(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == host {
		n.log.Info("leader lost", "leader", host)
		n.leader = ""
	}
	n.next++
}

// target returns the leader or, while none is known, the control hosts in turn.
func (n *Node) target() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != "" {
		return n.leader
	}
	if len(n.hosts) == 0 {
		return ""
	}
	for range n.hosts {
		host := n.hosts[n.next%len(n.hosts)]
		if n.transport.Connected(host) {
			return host
		}
		n.next++
	}
	return n.hosts[n.next%len(n.hosts)]
}

// Do passes a request on until it is answered or its time is up. A refusal as
// not run is true for all attempts together.
func (n *Node) Do(r *control.CustomerRequest, timeout time.Duration) (*control.CustomerReply, error) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return nil, structs.NotRun(structs.CodeInvalid, err.Error())
	}
	begun := clock.Boot()
	deadline := begun + timeout
	doubt := false
	attempts := 0
	var last failure
	for {
		left := deadline - clock.Boot()
		if left <= 0 {
			break
		}
		attempts++
		host := n.target()
		sent := clock.Boot()
		data, err := n.transport.Call(host, control.MethodCustomer, body, min(left, attemptTimeout))
		n.cfg.Observer.Attempt(r.Operation.String(), resultOf(err), clock.Boot()-sent)
		if err == nil {
			return decodeReply(data)
		}
		last = n.judge(host, err, &doubt)
		if last.final {
			return nil, n.verdict(r, last.refusal, doubt, attempts, begun)
		}
		if !n.wait(min(retryPause, deadline-clock.Boot())) {
			break
		}
	}
	if last.refusal == nil {
		last.refusal = structs.NotRun(structs.CodeOwnerUnreachable, "no control host could be reached")
	}
	return nil, n.verdict(r, last.refusal, doubt, attempts, begun)
}

// failure is what a failed attempt means for the request.
type failure struct {
	refusal *structs.Refusal
	// final is set if another attempt cannot do better.
	final bool
}

// judge takes note of a failed attempt. doubt is set if it may have been
// carried out.
func (n *Node) judge(host string, err error, doubt *bool) failure {
	var refused *structs.Refusal
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		n.lost(host)
		return failure{refusal: structs.NotRun(structs.CodeOwnerUnreachable, err.Error())}
	}
	if !errors.As(err, &refused) {
		*doubt = true
		n.lost(host)
		return failure{refusal: structs.Unknown(structs.CodeOutcomeUnknown, err.Error())}
	}
	if refused.Outcome != structs.OutcomeNotRun {
		*doubt = true
	}
	switch refused.Code {
	case structs.CodeNotLeader:
		if leader := refused.Message; leader != host && net.ParseIP(leader) != nil {
			n.found(leader)
			return failure{refusal: refused}
		}
		n.lost(host)
		return failure{refusal: refused}
	case structs.CodeQuorumUnavailable, structs.CodeOwnerUnreachable, structs.CodeStopping, structs.CodeOutcomeUnknown:
		n.lost(host)
		return failure{refusal: refused}
	}
	return failure{refusal: refused, final: true}
}

// verdict is the final refusal of a request.
func (n *Node) verdict(r *control.CustomerRequest, last *structs.Refusal, doubt bool, attempts int, begun time.Duration) *structs.Refusal {
	final := *last
	switch {
	case r.Operation == control.OpRead:
		// A read changes nothing, so a lost answer leaves no doubt.
		final.Outcome = structs.OutcomeNotRun
	case doubt:
		final.Outcome = structs.OutcomeUnknown
	}
	if final.RetryAfter == 0 {
		final.RetryAfter = control.DefaultRetryAfter
	}
	n.log.Info("request refused", "operation", r.Operation.String(), "path", r.Path, "code", string(final.Code), "outcome", string(final.Outcome),
		"attempts", attempts, "took_ms", (clock.Boot() - begun).Milliseconds(), "message", final.Message)
	return &final
}

func resultOf(err error) string {
	var refused *structs.Refusal
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refused):
		return string(refused.Code)
	}
	return "failed"
}

func decodeReply(data []byte) (*control.CustomerReply, error) {
	var reply control.CustomerReply
	if err := codec.Unmarshal(data, &reply); err != nil {
		return nil, structs.Unknown(structs.CodeInvalid, err.Error())
	}
	return &reply, nil
}

// wait pauses unless the host stops first.
func (n *Node) wait(d time.Duration) bool {
	return clock.Wait(d, n.stop)
}
