package e2e_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// isolatedTime is longer than the 2 s after which a silent connection is
	// closed and the 2.5 s for which an entry host then looks for a leader, so
	// that it gives up while it is cut off.
	isolatedTime   = 5 * time.Second
	sendPause      = 20 * time.Millisecond
	answerPatience = 300 * time.Millisecond
)

// command is one change with a mark of its own, and what its sender was told.
type command struct {
	mark     string
	accepted []string
	notRun   int
	unknown  int
}

// commandLoad sends commands, each with a mark of its own. Some are sent again
// through another host, after any answer.
type commandLoad struct {
	c    *cluster
	path string
	// body is the body of a command; a resend repeats it.
	body func(p *process, mark string) []byte
	// value tells what an accepted command created; each resend must tell the same.
	value func(body []byte) string

	mu   sync.Mutex
	sent []*command
	stop chan struct{}
	wg   sync.WaitGroup
}

func (l *commandLoad) start(name string, senders int) *commandLoad {
	l.stop = make(chan struct{})
	for i := range senders {
		l.wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer l.wg.Done()
			l.run(fmt.Sprint(name, "-", i), rand.New(rand.NewPCG(uint64(i), 11)))
		}()
	}
	return l
}

func (l *commandLoad) run(name string, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * sendPause)))):
		}
		cmd := &command{mark: fmt.Sprint(name, "-", n, "-end")}
		l.mu.Lock()
		l.sent = append(l.sent, cmd)
		l.mu.Unlock()
		p := l.c.hosts[rng.IntN(len(l.c.hosts))]
		body := l.body(p, cmd.mark)
		for range 1 + rng.IntN(4)/3 {
			l.send(p, cmd, body)
			p = l.c.hosts[rng.IntN(len(l.c.hosts))]
		}
	}
}

// send sends a command. It waits only briefly for the answer, so that a host
// that does not answer gets more than one command of each sender.
func (l *commandLoad) send(p *process, cmd *command, body []byte) {
	answered := make(chan struct{})
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer close(answered)
		a, err := l.c.do(p, "POST", l.path, operatorToken, nil, body)
		l.note(cmd, a, err)
	}()
	select {
	case <-answered:
	case <-time.After(answerPatience):
	}
}

func (l *commandLoad) note(cmd *command, a answer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		cmd.unknown++
	case a.refusal == "":
		cmd.accepted = append(cmd.accepted, l.value(a.body))
	case a.outcome() == structs.OutcomeNotRun:
		cmd.notRun++
	default:
		cmd.unknown++
	}
}

func (l *commandLoad) acceptedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, cmd := range l.sent {
		n += min(1, len(cmd.accepted))
	}
	return n
}

// awaitAccepted waits until further commands were accepted.
func (l *commandLoad) awaitAccepted(more int) {
	from := l.acceptedSoFar()
	Eventually(l.acceptedSoFar, "10s", "20ms").Should(BeNumerically(">=", from+more), "commands are accepted again")
}

// check ends the load and compares what senders were told with what exists:
// what each mark has created.
func (l *commandLoad) check(name string, created map[string][]string) {
	told := map[string]int{}
	var faults []string
	for _, cmd := range l.sent {
		values := created[cmd.mark]
		about := fmt.Sprintf("%s: accepted as %v, %d not run, %d unknown, exists as %v", cmd.mark, cmd.accepted, cmd.notRun, cmd.unknown, values)
		slices.Sort(cmd.accepted)
		switch {
		case len(values) > 1:
			faults = append(faults, "exists more than once: "+about)
		case len(slices.Compact(slices.Clone(cmd.accepted))) > 1:
			faults = append(faults, "accepted as different ones: "+about)
		case len(cmd.accepted) > 0 && (len(values) == 0 || values[0] != cmd.accepted[0]):
			faults = append(faults, "accepted and lost: "+about)
		case len(cmd.accepted) == 0 && cmd.unknown == 0 && len(values) > 0:
			faults = append(faults, "reported as not run but exists: "+about)
		}
		switch {
		case len(cmd.accepted) > 0:
			told["accepted"]++
		case cmd.unknown > 0:
			told["unknown"]++
		default:
			told["not run"]++
		}
	}
	AddReportEntry(name, fmt.Sprint(told), ReportEntryVisibilityAlways)
	Expect(faults).To(BeEmpty())
	Expect(told["accepted"]).To(BeNumerically(">", 0))
}

func (l *commandLoad) end() {
	close(l.stop)
	l.wg.Wait()
}

// submitJobs starts a load of job submissions. Without workers the jobs stay queued.
func submitJobs(c *cluster, senders int) *commandLoad {
	l := &commandLoad{c: c, path: api.PathJobs}
	l.body = func(_ *process, mark string) []byte {
		body, err := json.Marshal(api.JobSubmitRequest{Name: mark, Customer: customer, FailureDomain: oerlikon, Accelerators: 8, DeclaredRuntimeMS: 1000})
		Expect(err).NotTo(HaveOccurred())
		return body
	}
	l.value = func(body []byte) string {
		var job api.Job
		_ = json.Unmarshal(body, &job)
		return job.ID
	}
	return l.start("job", senders)
}

// applyMarks starts a load of rules whose text carries the mark.
func applyMarks(c *cluster, senders int) *commandLoad {
	l := &commandLoad{c: c, path: api.PathRules}
	l.body = func(p *process, mark string) []byte {
		body, err := json.Marshal(api.RulesApplyRequest{BaseVersion: c.version(p), Text: changedRules(mark), Author: mark, RequestID: mark})
		Expect(err).NotTo(HaveOccurred())
		return body
	}
	l.value = func(body []byte) string {
		var r api.RulesApplyResponse
		_ = json.Unmarshal(body, &r)
		return fmt.Sprint(r.Version)
	}
	return l.start("rules", senders)
}

// jobsByName returns the IDs of all jobs by name.
func (c *cluster) jobsByName() map[string][]string {
	ids := map[string][]string{}
	var list api.JobListResponse
	// The list waits for the failure domains without hosts.
	a, err := c.do(c.owner(oerlikon), "GET", api.PathJobs, operatorToken, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(a.body, &list)).To(Succeed(), a.String())
	Expect(list.Unreachable).NotTo(ContainElement(oerlikon))
	for _, job := range list.Jobs {
		ids[job.Name] = append(ids[job.Name], job.ID)
	}
	return ids
}

// versionsByAuthor returns the accepted versions by author, of the history and
// of all that was in force on any host.
func (c *cluster) versionsByAuthor(w *versionLog) map[string][]string {
	versions := map[string][]string{}
	var history api.RulesHistoryResponse
	Eventually(func() bool { return c.get(c.hosts[0], api.PathRulesHistory, &history) }, "10s", "100ms").Should(BeTrue())
	for _, e := range history.Entries {
		versions[e.Author] = append(versions[e.Author], fmt.Sprint(e.Version))
	}
	for version, text := range w.texts {
		_, rest, marked := strings.Cut(text, "second contract, ")
		mark, _, _ := strings.Cut(rest, "\n")
		if marked && !slices.Contains(versions[mark], fmt.Sprint(version)) {
			versions[mark] = append(versions[mark], fmt.Sprint(version))
		}
	}
	return versions
}

// cutAnswers holds what the given hosts answer to the calls of a third host.
func (c *cluster) cutAnswers(on bool, from ...*process) {
	entry := c.others(from...)[0]
	for _, p := range from {
		c.links[entry.id+">"+p.id].SetCutBack(on)
	}
}

// awaitLeader waits until a log has a leader.
func (c *cluster) awaitLeader(group string) (found *process) {
	Eventually(func() *process {
		found = c.leader(group, c.hosts...)
		return found
	}, "10s", "50ms").ShouldNot(BeNil(), group)
	return found
}

var _ = Describe("Refusals as not run (P4)", func() {
	// Guards against a refusal as not run of a job that was recorded, a resend
	// that makes a second job, an accepted job that is lost, a refused change of
	// the rules that comes into force later, and an accepted one that does not.
	It("are true for jobs and rules while a leader or an entry host is lost before the answer", func() {
		const jobLog, rulesLog = "domain/" + oerlikon, "config"
		c := newCluster(threeHosts)
		c.begin(baseRules())
		c.owner(oerlikon)
		w := watchVersions(c)
		jobs, rules := submitJobs(c, 12), applyMarks(c, 4)
		settled := func() {
			jobs.awaitAccepted(20)
			rules.awaitAccepted(1)
		}
		settled()
		owner, leader := c.awaitLeader(jobLog), c.awaitLeader(rulesLog)
		c.cutAnswers(true, owner, leader)
		time.Sleep(isolatedTime)
		c.cutAnswers(false, owner, leader)
		settled()
		owner = c.awaitLeader(jobLog)
		c.cutTo(true, owner)
		time.Sleep(frozenTime)
		c.cutTo(false, owner)
		settled()
		owner, leader = c.awaitLeader(jobLog), c.awaitLeader(rulesLog)
		owner.kill()
		if leader != owner {
			leader.kill()
			leader.start()
		}
		owner.start()
		c.awaitReady(owner)
		settled()
		jobs.end()
		rules.end()
		time.Sleep(time.Second)
		Expect(w.done()).To(BeEmpty())
		jobs.check("jobs", c.jobsByName())
		rules.check("rules", c.versionsByAuthor(w))
	})
})
