package admission_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

// TestMain sets a fixed seed and number of checks unless flags set them. A longer run:
// go test ./scheduler/admission -rapid.checks=20000 -rapid.seed=N.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261206", "rapid.checks": "300", "rapid.steps": "60", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

const (
	// modelRetention is how long the model keeps ended jobs.
	modelRetention = 100 * time.Second
	// proposalTimeout is how long the leader waits for a command to be stored. After that a
	// request gets no response.
	proposalTimeout = 2 * time.Second
	// modelPromise is how long a confirmed cancel keeps submissions from running at least: a
	// record is stored again after a fifth of its retention.
	modelPromise = modelRetention*4/5 - proposalTimeout
)

// history is what the clients of one path have sent and heard.
type history struct {
	submitted, accepted, cancelSent bool
	// uncertain is set once a submission got no clear refusal.
	uncertain bool
	// cancelledAt is when a cancel was confirmed last, or 0.
	cancelledAt time.Duration
}

// message is a request on its way to the leader. Hosts and links may hold it back for any
// time, and several copies of it may arrive.
type message struct {
	operation admission.Operation
	path      string
	// repeats is how often an entry host or a client sends it again without a clear response.
	repeats int
}

// proposal is a command that waits in the log of the leader.
type proposal struct {
	message *message
	reply   *admission.Reply
	command *workload.Command
	at      time.Duration
}

// model plays clients, entry hosts and the log of the leaders around the real decisions and
// the real state.
type model struct {
	t         *rapid.T
	host      *host
	now       time.Duration
	histories map[string]*history
	messages  []*message
	log       []*proposal
	// named holds the services that the queue at each place has had.
	named map[workload.Place]map[string]bool
}

// modelIDs are the identifiers that clients use, modelPrefixes the prefixes of queues, of
// which one extends another into the identifiers of its jobs.
var (
	modelIDs      = []string{jobID, otherID}
	modelPrefixes = []string{"/a/", "/a/5", "/b/"}
)

// keyOf returns the key of the customer that uses a path.
func keyOf(path string) string {
	if strings.HasSuffix(path, jobID) {
		return "key-a"
	}
	return "key-b"
}

// draw returns a random element.
func draw[T any](m *model, label string, from ...T) T {
	return from[rapid.IntRange(0, len(from)-1).Draw(m.t, label)]
}

func (m *model) drawPath() string {
	return draw(m, "prefix", modelPrefixes...) + draw(m, "id", modelIDs...)
}

func (m *model) historyOf(path string) *history {
	if m.histories[path] == nil {
		m.histories[path] = &history{}
	}
	return m.histories[path]
}

// send puts copies of a request on their way.
func (m *model) send(operation admission.Operation) {
	path := m.drawPath()
	h := m.historyOf(path)
	h.submitted = h.submitted || operation == admission.OpSubmit
	h.cancelSent = h.cancelSent || operation == admission.OpCancel
	for range rapid.IntRange(1, 2).Draw(m.t, "copies") {
		m.messages = append(m.messages, &message{operation: operation, path: path, repeats: rapid.IntRange(0, 2).Draw(m.t, "repeats")})
	}
}

// deliver lets the leader decide a request that is on its way.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	next := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	m.decide(next)
}

func (m *model) decide(r *message) {
	request := &admission.Request{Operation: r.operation, Host: "h.example", Path: r.path, Key: keyOf(r.path)}
	if r.operation == admission.OpSubmit {
		request.Spec = &workload.Spec{Steps: []workload.Step{{Count: 1}}}
	}
	reply, command, err := m.host.policy.Decide(m.host.state, request, m.now)
	switch {
	case err != nil:
		m.refuse(r, err)
	case command == nil:
		m.answer(r, reply)
	default:
		m.log = append(m.log, &proposal{message: r, reply: reply, command: command, at: m.now})
	}
}

// commit stores the first command of the log. A request whose command changed nothing is
// decided again.
func (m *model) commit() {
	if len(m.log) == 0 {
		return
	}
	p := m.log[0]
	m.log = m.log[1:]
	result := m.host.apply(p.command)
	switch {
	case m.now-p.at > proposalTimeout:
		m.repeat(p.message)
	case result == workload.ResultApplied:
		m.answer(p.message, p.reply)
	default:
		m.decide(p.message)
	}
}

// changeLeader drops the latest commands of the log, whose outcome nobody learns, or lets
// them be stored without a response.
func (m *model) changeLeader() {
	kept := rapid.IntRange(0, len(m.log)).Draw(m.t, "kept")
	for i, p := range m.log {
		if i < kept {
			m.host.apply(p.command)
		}
		m.repeat(p.message)
	}
	m.log = nil
	if rapid.Bool().Draw(m.t, "from a snapshot") {
		m.host.restart()
	}
}

// repeat sends a request again that got no response.
func (m *model) repeat(r *message) {
	m.historyOf(r.path).uncertain = true
	if r.repeats > 0 {
		m.messages = append(m.messages, &message{operation: r.operation, path: r.path, repeats: r.repeats - 1})
	}
}

func (m *model) refuse(r *message, err error) {
	var refused *structs.Refusal
	if !errors.As(err, &refused) || refused.Outcome != structs.OutcomeNotRun {
		m.t.Fatalf("a decision ended with %v", err)
	}
	if m.isOwed(r.path) && m.host.state.Match("h.example", r.path) != nil {
		m.t.Fatalf("LOST: the accepted job at %s is refused with %v", r.path, err)
	}
}

func (m *model) answer(r *message, reply *admission.Reply) {
	h := m.historyOf(r.path)
	switch r.operation {
	case admission.OpSubmit:
		if m.host.state.JobAt("h.example", r.path) == nil {
			m.t.Fatalf("LOST: the job at %s is accepted and not stored", r.path)
		}
		h.accepted = true
	case admission.OpCancel:
		h.cancelledAt = m.now
	case admission.OpRead:
		if reply.Unknown && m.isOwed(r.path) {
			m.t.Fatalf("LOST: the accepted job at %s is unknown", r.path)
		}
		if !reply.Unknown && !reply.IsQueue && !h.submitted {
			m.t.Fatalf("MIXED: the job at %s is shown as %s and was never submitted", r.path, reply.Phase)
		}
	}
}

// isOwed reports whether a path has an accepted job that nobody has cancelled.
func (m *model) isOwed(path string) bool {
	h := m.historyOf(path)
	return h.accepted && !h.cancelSent
}

// configure stores a configuration with a random queue, or none, at each prefix.
func (m *model) configure() {
	var queues []workload.Queue
	for _, prefix := range modelPrefixes {
		if rapid.IntRange(0, 3).Draw(m.t, "kind of queue") == 0 {
			continue
		}
		q := queue(draw(m, "name", "q", "p", "r"), prefix)
		q.Service = draw(m, "service", "s1", "s2")
		queues = append(queues, q)
		m.name(&q)
	}
	m.host.configure(m.host.state.Config().Version+1, queues...)
}

// name records the service of a queue.
func (m *model) name(q *workload.Queue) {
	if m.named[q.Place()] == nil {
		m.named[q.Place()] = map[string]bool{}
	}
	m.named[q.Place()][q.Service] = true
}

// pass moves the clock and removes ended jobs as the leader does.
func (m *model) pass() {
	m.now += time.Duration(rapid.IntRange(1, 60).Draw(m.t, "seconds")) * time.Second
	var expired []string
	m.host.state.Jobs(func(j *workload.Job) {
		if j.Phase.Ended() && m.now-j.RetainedSince() > modelRetention {
			expired = append(expired, j.ID)
		}
	})
	if len(expired) > 0 {
		m.host.apply(&workload.Command{At: m.now, Purge: expired})
	}
}

// check compares the state with what the clients have sent and heard.
func (m *model) check(t *rapid.T) {
	m.t = t
	m.host.state.Jobs(func(j *workload.Job) {
		path := j.Prefix + j.ID
		h := m.historyOf(path)
		if !j.Tombstone && !h.submitted {
			m.t.Fatalf("UNASKED: the job at %s is stored and was never submitted", path)
		}
		if j.Tombstone && !h.cancelSent {
			m.t.Fatalf("the cancel of the job at %s is stored and was never sent", path)
		}
		for _, q := range m.host.state.Config().Queues {
			if q.Place() == j.Place() && j.Service != q.Service {
				m.t.Fatalf("CONFIG: the job at %s is bound to %s, and its queue to %s", path, j.Service, q.Service)
			}
		}
		if !j.Tombstone && !m.named[j.Place()][j.Service] {
			m.t.Fatalf("ROUTE: the job at %s is bound to %s, which its queue never had", path, j.Service)
		}
	})
	for path, h := range m.histories {
		j := m.host.state.JobAt("h.example", path)
		if h.cancelledAt > 0 && m.now-h.cancelledAt <= modelPromise && j != nil && !j.Phase.Ended() {
			m.t.Fatalf("UNASKED: the job at %s is %s after its cancel was confirmed", path, j.Phase)
		}
		if m.isOwed(path) && (j == nil || j.Phase.Ended()) {
			m.t.Fatalf("LOST: the accepted job at %s is not stored or has ended", path)
		}
		if j != nil && !j.Tombstone && !h.accepted && !h.uncertain && len(m.messages)+len(m.log) == 0 && !h.cancelSent {
			m.t.Fatalf("REFUSED: the job at %s is stored and all its submissions were refused", path)
		}
	}
}

// TestModel sends random submissions, cancels and reads of a few jobs, in several copies and
// delayed for any time, while leaders change, commands are lost with them, hosts restart from
// a snapshot, and versions rename, remove, add and move queues and change their services. It
// guards against a job that is stored after its cancel was confirmed or that nobody submitted,
// an accepted one that is lost, unknown or bound to the service of another version, and one
// that is shown although nobody submitted it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		m := &model{t: t, host: newHost(queue("q", "/a/"), queue("p", "/b/")), now: time.Hour, histories: map[string]*history{}, named: map[workload.Place]map[string]bool{}}
		for _, q := range m.host.state.Config().Queues {
			m.name(&q)
		}
		m.host.policy.Retention = modelRetention
		act := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { m.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  act(func() { m.send(admission.OpSubmit) }),
			"cancel":  act(func() { m.send(admission.OpCancel) }),
			"read":    act(func() { m.send(admission.OpRead) }),
			"deliver": act(m.deliver), "deliver another": act(m.deliver), "deliver a third": act(m.deliver),
			"commit": act(m.commit), "commit another": act(m.commit),
			"change the leader": act(m.changeLeader), "restart": act(m.host.restart),
			"configure": act(m.configure), "pass time": act(m.pass), "": m.check,
		})
	})
}
