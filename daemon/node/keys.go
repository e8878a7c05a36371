package node

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"cranberrydrum.dev/coord/dedup"
	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/routing"
	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// keyLogTimeout bounds the wait until a key is durable. Nothing is sent
	// before that, so after a timeout the request has certainly not run.
	keyLogTimeout = 3 * time.Second
	// keyFinishTimeout bounds the wait until an outcome is durable.
	keyFinishTimeout = 5 * time.Second
)

// digestOf returns a digest of the content of a request, which detects the reuse
// of a key for other content. Each part is preceded by its length, so that
// different parts cannot give the same input.
func digestOf(c Call) dedup.Digest {
	h := sha256.New()
	for _, part := range []string{c.Request.Service, c.Request.Customer, string(c.Body)} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return dedup.Digest(h.Sum(nil))
}

// storedKey returns the key under which a request is recorded. The prefix keeps
// the keys of different customers apart.
func storedKey(r structs.Request) string { return r.Customer + "/" + r.Key }

// homeOf returns the failure domain whose log records the key of a request. It
// may differ from the domain of this host even if this host owns the key, because
// the replica outside the domain may lead the log.
func (n *Node) homeOf(r structs.Request) string {
	return routing.HomeDomain(storedKey(r), n.keyHomes())
}

// keyedAttempt runs one attempt of a non-idempotent request: it makes the key
// durable, checks the leader lease and sends the request once. If the owner of
// the key forwarded the request, the owner has already recorded the key.
func (s *service) keyedAttempt(p *pendingRequest, e serving.Send, a upstream.Attempt) attemptResult {
	event := serving.AttemptFinished{RequestID: e.RequestID, Attempt: e.Attempt, Result: serving.ResultWithdrawn}
	token := ""
	if !p.call.Begun {
		permit := s.node.authorizeSend(p.call)
		if permit.token == "" {
			event.Refusal = permit.refusal
			return attemptResult{event: event, recorded: permit.recorded}
		}
		token = permit.token
	}
	start := s.node.now()
	response, err := s.sendAttempt(p, e, a)
	event.ServiceTime = s.node.now() - start
	event.Result = keyedResult(response, err)
	if token != "" {
		s.node.finishKey(p.call, token, outcomeOf(event.Result, response))
	}
	if event.Result != serving.ResultOK {
		response = nil
	}
	return attemptResult{event: event, response: response}
}

// forwardKeyed runs a non-idempotent request in another failure domain if the
// home of its key has no executor that could serve it. It records the key here
// before the request leaves this host.
func (s *service) forwardKeyed(target host, c Call, e serving.Forward) forwardResult {
	permit := s.node.authorizeSend(c)
	if permit.token == "" {
		event := serving.ForwardFinished{RequestID: e.RequestID, Result: serving.ResultNotSent, Refusal: permit.refusal}
		if event.Refusal == nil {
			event.Result = serving.ResultOK
		}
		return forwardResult{event: event, response: permit.recorded}
	}
	response, err := call[remoteResponse](s.node, target.ID, methodBegunRequest, remoteRequestOf(c), e.Remaining)
	f := s.forwardResultOf(target, e.RequestID, response, err)
	s.node.finishKey(c, permit.token, outcomeOf(f.event.Result, f.response))
	return f
}

// sendPermit is the permission to send a non-idempotent request once, under its
// token. If token is empty, it holds the response of an earlier run or a refusal
// instead.
type sendPermit struct {
	token    string
	recorded *upstream.Response
	refusal  *structs.Refusal
}

// authorizeSend makes the key durable in state "sending" and then checks that
// this host still owns it, by the current leader lease.
func (n *Node) authorizeSend(c Call) sendPermit {
	token := n.newToken()
	decision, refusal := n.beginKey(c, token)
	if refusal != nil {
		return sendPermit{refusal: refusal}
	}
	if decision.Kind != dedup.Send {
		recorded, refusal := responseOfDecision(decision)
		return sendPermit{recorded: recorded, refusal: refusal}
	}
	if !n.group(domainGroup(n.homeOf(c.Request))).HoldsLease() {
		n.finishKey(c, token, dedup.Outcome{Kind: dedup.NotRun})
		return sendPermit{refusal: structs.RefuseNotRun(structs.CodeNotLeader, "this host lost the ownership of the key before it sent the request")}
	}
	return sendPermit{token: token}
}

// keyedResult is resultOf for a request that must not run twice: any response,
// also with status 503, is final, because the executor has received the request.
func keyedResult(response *upstream.Response, err error) serving.Result {
	if err == nil {
		return serving.ResultOK
	}
	return resultOf(response, err)
}

func outcomeOf(result serving.Result, response *upstream.Response) dedup.Outcome {
	switch result {
	case serving.ResultOK:
		return dedup.Outcome{Kind: dedup.Answered, Status: response.Status, Body: response.Body}
	case serving.ResultNotSent:
		return dedup.Outcome{Kind: dedup.NotRun}
	}
	return dedup.Outcome{Kind: dedup.Unknown}
}

// newToken returns the token of one run of a key. It is unique among all hosts
// and restarts.
func (n *Node) newToken() string {
	return n.cfg.HostID + "/" + strconv.FormatInt(n.start.UnixNano(), 36) + "/" + strconv.FormatUint(n.tokens.Add(1), 36)
}

// beginKey makes the decision to send durable. If that cannot be confirmed in
// time, nothing is sent and the key is released in the background, because the
// log entry may still be committed.
func (n *Node) beginKey(c Call, token string) (dedup.Decision, *structs.Refusal) {
	var command []byte
	home := n.homeOf(c.Request)
	err := n.readAsOwner(home, func(now time.Duration, o *domainOwner) error {
		var err error
		command, err = domain.EncodeBegin(o.controller.Clock(now), dedup.Request{
			Key:    storedKey(c.Request),
			Digest: digestOf(c),
			Owner:  n.cfg.HostID,
			Token:  token,
		})
		return err
	})
	if err != nil {
		return dedup.Decision{}, notRun(err)
	}
	data, err := n.group(domainGroup(home)).Propose(command, keyLogTimeout)
	if err != nil {
		go n.guard("finish_key", func() { n.finishKey(c, token, dedup.Outcome{Kind: dedup.NotRun}) })
		return dedup.Decision{}, notRun(err)
	}
	decision, err := domain.DecodeDecision(data)
	if err != nil {
		return dedup.Decision{}, notRun(err)
	}
	return decision, nil
}

// notRun converts an error that occurred before anything was sent into a refusal
// with the outcome "not run".
func notRun(err error) *structs.Refusal {
	refusal, ok := err.(*structs.Refusal)
	if !ok {
		return structs.RefuseNotRun(structs.CodeOwnerUnreachable, err.Error())
	}
	return structs.RefuseNotRun(refusal.Code, refusal.Message)
}

// responseOfDecision returns the response or refusal for a request whose key is
// already recorded.
func responseOfDecision(d dedup.Decision) (*upstream.Response, *structs.Refusal) {
	switch d.Kind {
	case dedup.Recorded:
		return responseOfOutcome(d.Outcome)
	case dedup.InProgress:
		return nil, structs.RefuseUnknown(structs.CodeKeyInProgress, "the request is being run by "+d.Owner)
	case dedup.UnknownOutcome:
		return nil, structs.RefuseUnknown(structs.CodeOutcomeUnknown, "an earlier run of this key may have taken effect")
	case dedup.Conflict:
		return nil, structs.RefuseNotRun(structs.CodeKeyConflict, "the key was used with other content")
	case dedup.Expired:
		return nil, structs.RefuseUnknown(structs.CodeKeyExpired, "the record of this key has expired")
	case dedup.Capacity:
		return nil, structs.RefuseNotRun(structs.CodeKeyCapacity, "too many keys are recorded")
	case dedup.Invalid:
		return nil, structs.RefuseNotRun(structs.CodeInvalid, "the key is not valid")
	}
	return nil, structs.RefuseNotRun(structs.CodeNotLeader, "another host owns the key by now")
}

func responseOfOutcome(o dedup.Outcome) (*upstream.Response, *structs.Refusal) {
	switch {
	case o.Kind == dedup.NotRun:
		return nil, structs.RefuseNotRun(structs.CodeBackendFailed, "the request was not sent")
	case o.Kind == dedup.Unknown:
		return nil, structs.RefuseUnknown(structs.CodeOutcomeUnknown, "an earlier run of this key may have taken effect")
	case o.BodyDropped:
		return nil, structs.RefuseUnknown(structs.CodeKeyExpired, "the request ran; its answer was too large to be kept")
	}
	return &upstream.Response{Status: o.Status, Body: o.Body}, nil
}

// keyOutcome reports an outcome to the owner of a key.
type keyOutcome struct {
	Domain  string        `msgpack:"d"`
	Key     string        `msgpack:"k"`
	Token   string        `msgpack:"n"`
	Outcome dedup.Outcome `msgpack:"o"`
}

// finishKey records the outcome of a key at its current owner, which may be
// another host by now. If that fails, the outcome of the key stays unknown, which
// is safe.
func (n *Node) finishKey(c Call, token string, o dedup.Outcome) {
	home := n.homeOf(c.Request)
	report := &keyOutcome{Domain: home, Key: storedKey(c.Request), Token: token, Outcome: o}
	_, err := callLeader[emptyMessage](n, domainGroup(home), methodKeyFinish, report, keyFinishTimeout, true)
	if err != nil {
		n.log.Info("recording the outcome of a request key failed", "key", report.Key, "error", err.Error())
	}
}

func (n *Node) handleKeyFinish(_ string, k *keyOutcome, remaining time.Duration) (any, error) {
	var command []byte
	err := n.readAsOwner(k.Domain, func(now time.Duration, o *domainOwner) error {
		var err error
		command, err = domain.EncodeFinish(o.controller.Clock(now), k.Key, k.Token, k.Outcome)
		return err
	})
	if err != nil {
		return nil, err
	}
	if _, err := n.group(domainGroup(k.Domain)).Propose(command, remaining); err != nil {
		return nil, err
	}
	return &emptyMessage{}, nil
}
