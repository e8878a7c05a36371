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
	// replyCutTime is longer than the 2 s after which a silent connection is
	// closed plus the 2.5 s for which an entry host then looks for a leader, so
	// that the entry host gives up during the cut.
	replyCutTime = 5 * time.Second
	sendPause    = 20 * time.Millisecond
	responseWait = 300 * time.Millisecond
)

// command is one change, identified by a unique marker, with the responses that
// its sender received.
type command struct {
	marker   string
	accepted []string
	notRun   int
	unknown  int
}

// commandLoad sends commands, each with a unique marker. Some are sent again
// through another host, whatever the first response was.
type commandLoad struct {
	c    *cluster
	path string
	// body returns the body of a command. A resend repeats it.
	body func(p *process, marker string) []byte
	// value returns the id of the object that an accepted command created. Each
	// resend must return the same id.
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
		cmd := &command{marker: fmt.Sprint(name, "-", n, "-end")}
		l.mu.Lock()
		l.sent = append(l.sent, cmd)
		l.mu.Unlock()
		p := l.c.hosts[rng.IntN(len(l.c.hosts))]
		body := l.body(p, cmd.marker)
		for range 1 + rng.IntN(4)/3 {
			l.send(p, cmd, body)
			p = l.c.hosts[rng.IntN(len(l.c.hosts))]
		}
	}
}

// send sends a command. It waits only briefly for the response, so that an
// unresponsive host receives more than one command from each sender.
func (l *commandLoad) send(p *process, cmd *command, body []byte) {
	answered := make(chan struct{})
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer close(answered)
		a, err := l.c.do(p, "POST", l.path, operatorToken, nil, body)
		l.record(cmd, a, err)
	}()
	select {
	case <-answered:
	case <-time.After(responseWait):
	}
}

func (l *commandLoad) record(cmd *command, a response, err error) {
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

func (l *commandLoad) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, cmd := range l.sent {
		n += min(1, len(cmd.accepted))
	}
	return n
}

// awaitAccepted waits until the given number of further commands has been
// accepted.
func (l *commandLoad) awaitAccepted(more int) {
	from := l.acceptedCount()
	Eventually(l.acceptedCount, "10s", "20ms").Should(BeNumerically(">=", from+more), "commands are accepted again")
}

// check compares the responses to the senders with the objects that exist.
// created maps each marker to the ids of the objects created with it.
func (l *commandLoad) check(name string, created map[string][]string) {
	counts := map[string]int{}
	var violations []string
	for _, cmd := range l.sent {
		values := created[cmd.marker]
		details := fmt.Sprintf("%s: accepted as %v, %d not run, %d unknown, exists as %v", cmd.marker, cmd.accepted, cmd.notRun, cmd.unknown, values)
		slices.Sort(cmd.accepted)
		switch {
		case len(values) > 1:
			violations = append(violations, "exists more than once: "+details)
		case len(slices.Compact(slices.Clone(cmd.accepted))) > 1:
			violations = append(violations, "accepted with different ids: "+details)
		case len(cmd.accepted) > 0 && (len(values) == 0 || values[0] != cmd.accepted[0]):
			violations = append(violations, "accepted and lost: "+details)
		case len(cmd.accepted) == 0 && cmd.unknown == 0 && len(values) > 0:
			violations = append(violations, "reported as not run but exists: "+details)
		}
		switch {
		case len(cmd.accepted) > 0:
			counts["accepted"]++
		case cmd.unknown > 0:
			counts["unknown"]++
		default:
			counts["not run"]++
		}
	}
	AddReportEntry(name, fmt.Sprint(counts), ReportEntryVisibilityAlways)
	Expect(violations).To(BeEmpty())
	Expect(counts["accepted"]).To(BeNumerically(">", 0))
}

func (l *commandLoad) stopSenders() {
	close(l.stop)
	l.wg.Wait()
}

// submitJobs starts a load of job submissions. There are no workers, so the jobs
// stay queued.
func submitJobs(c *cluster, senders int) *commandLoad {
	l := &commandLoad{c: c, path: api.PathJobs}
	l.body = func(_ *process, marker string) []byte {
		body, err := json.Marshal(api.JobSubmitRequest{Name: marker, Customer: customer, FailureDomain: oerlikon, Accelerators: 8, DeclaredRuntimeMS: 1000})
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

// applyMarkedRules starts a load of rule changes whose text contains the marker.
func applyMarkedRules(c *cluster, senders int) *commandLoad {
	l := &commandLoad{c: c, path: api.PathRules}
	l.body = func(p *process, marker string) []byte {
		body, err := json.Marshal(api.RulesApplyRequest{BaseVersion: c.version(p), Text: changedRules(marker), Author: marker, RequestID: marker})
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

// jobsByName returns the ids of all jobs by name.
func (c *cluster) jobsByName() map[string][]string {
	ids := map[string][]string{}
	var list api.JobListResponse
	// The request also waits for the failure domains that have no hosts in this
	// deployment.
	a, err := c.do(c.awaitOwner(oerlikon), "GET", api.PathJobs, operatorToken, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(a.body, &list)).To(Succeed(), a.String())
	Expect(list.Unreachable).NotTo(ContainElement(oerlikon))
	for _, job := range list.Jobs {
		ids[job.Name] = append(ids[job.Name], job.ID)
	}
	return ids
}

// versionsByAuthor returns the accepted versions by author. It includes the
// versions in the history and those that were in force on any host.
func (c *cluster) versionsByAuthor(w *versionLog) map[string][]string {
	versions := map[string][]string{}
	var history api.RulesHistoryResponse
	Eventually(func() bool { return c.getJSON(c.hosts[0], api.PathRulesHistory, &history) }, "10s", "100ms").Should(BeTrue())
	for _, e := range history.Entries {
		versions[e.Author] = append(versions[e.Author], fmt.Sprint(e.Version))
	}
	for version, text := range w.texts {
		_, rest, marked := strings.Cut(text, "second contract, ")
		marker, _, _ := strings.Cut(rest, "\n")
		if marked && !slices.Contains(versions[marker], fmt.Sprint(version)) {
			versions[marker] = append(versions[marker], fmt.Sprint(version))
		}
	}
	return versions
}

// setCutReplies holds or releases the replies of the given hosts to the calls of
// the remaining host.
func (c *cluster) setCutReplies(on bool, from ...*process) {
	entry := c.others(from...)[0]
	for _, p := range from {
		c.links[entry.id+">"+p.id].SetCutReverse(on)
	}
}

// awaitLeader waits until a replicated log has a leader and returns it.
func (c *cluster) awaitLeader(group string) (found *process) {
	Eventually(func() *process {
		found = c.leader(group, c.hosts...)
		return found
	}, "10s", "50ms").ShouldNot(BeNil(), group)
	return found
}

var _ = Describe("Refusals as not run (P4)", func() {
	// Guards against a refusal as not run of a job that was recorded, a resend
	// that creates a second job, an accepted job that is lost, a refused change
	// of the rules that takes effect later, and an accepted change that does not
	// take effect.
	It("are true for jobs and rules while a leader or an entry host is lost before the answer", func() {
		const jobLog, rulesLog = "domain/" + oerlikon, "config"
		c := newCluster(threeHosts)
		c.applyInitialRules(baseRules())
		c.awaitOwner(oerlikon)
		w := watchVersions(c)
		jobs, rules := submitJobs(c, 12), applyMarkedRules(c, 4)
		awaitProgress := func() {
			jobs.awaitAccepted(20)
			rules.awaitAccepted(1)
		}
		awaitProgress()
		owner, leader := c.awaitLeader(jobLog), c.awaitLeader(rulesLog)
		c.setCutReplies(true, owner, leader)
		time.Sleep(replyCutTime)
		c.setCutReplies(false, owner, leader)
		awaitProgress()
		owner = c.awaitLeader(jobLog)
		c.setCutInbound(true, owner)
		time.Sleep(freezeTime)
		c.setCutInbound(false, owner)
		awaitProgress()
		owner, leader = c.awaitLeader(jobLog), c.awaitLeader(rulesLog)
		owner.kill()
		if leader != owner {
			leader.kill()
			leader.start()
		}
		owner.start()
		c.awaitReady(owner)
		awaitProgress()
		jobs.stopSenders()
		rules.stopSenders()
		time.Sleep(time.Second)
		Expect(w.finish()).To(BeEmpty())
		jobs.check("jobs", c.jobsByName())
		rules.check("rules", c.versionsByAuthor(w))
	})
})
