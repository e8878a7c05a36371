package e2e_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// isolationVariable replaces isolationTime by a longer one, such as 90s.
	isolationVariable = "CRANBERRYDRUM_E2E_ISOLATION"
	// isolationTime is longer than each timer between hosts that ends in an
	// isolation: the worker lease with its margin (7 s), lent slots with theirs
	// (6 s), a call (5 s), a host status and an announcement (3 s), two election
	// timeouts (2 s) and the silence of a connection (2 s). Hosts are redialled
	// for good and members stay members, so no timer drops them. A log is
	// compacted by its 4096 entries or 8 MiB and not by time, so no length alone
	// reaches it. The whole status that hosts send every 30 s is no timeout; an
	// isolation of 90 s crosses it too.
	isolationTime = 8 * time.Second
	// isolatedChanges are at least accepted elsewhere meanwhile.
	isolatedChanges = 50
	isolatedPause   = 50 * time.Millisecond
	// cutNoticed is the silence of a connection and one election timeout: from
	// then on a host knows that it can send nothing and leads nothing.
	cutNoticed = 3 * time.Second
	// isolatedRounds are at least asked of the isolated host.
	isolatedRounds = 2
	// isolatedAsk is the deadline of requests to the isolated host.
	isolatedAsk = 4 * time.Second
)

func isolationLength() time.Duration {
	text := os.Getenv(isolationVariable)
	if text == "" {
		return isolationTime
	}
	d, err := time.ParseDuration(text)
	Expect(err).NotTo(HaveOccurred())
	return max(d, isolationTime)
}

// isolatedCaller asks an isolated host for what it cannot do.
type isolatedCaller struct {
	c    *cluster
	host *process
	cut  time.Time
	wg   sync.WaitGroup

	mu sync.Mutex
	// notRun are the changes and keys that were refused as not run.
	notRun  []string
	unknown int
	faults  []string
}

// repeat asks until a further question might outlast the isolation.
func (i *isolatedCaller) repeat(ask func(round int)) {
	i.wg.Go(func() {
		defer GinkgoRecover()
		for round := 0; round < isolatedRounds || time.Since(i.cut)+isolatedAsk < isolationLength(); round++ {
			ask(round)
			time.Sleep(isolatedPause)
		}
	})
}

func (i *isolatedCaller) changeRules(round int) {
	mark := fmt.Sprint("isolated change ", round)
	asked := time.Now()
	a, err := i.c.applyRules(i.host, i.c.version(i.host), changedRules(mark), mark)
	i.note(mark, asked, a, err)
}

// charges sends non-idempotent requests whose keys have one home.
func (i *isolatedCaller) charges(home string) func(int) {
	keys := &keyedLoad{c: i.c, home: home}
	return func(int) {
		h := keys.newKey()
		headers := map[string]string{api.HeaderNonIdempotent: "true", api.HeaderKey: h.key, api.HeaderDeadline: strconv.FormatInt(isolatedAsk.Milliseconds(), 10)}
		asked := time.Now()
		a, err := i.c.request(i.host, h.body, headers)
		i.note(h.key, asked, a, err)
	}
}

// note checks an answer. Unknown is true only of what may have left the host
// before it noticed the cut.
func (i *isolatedCaller) note(what string, asked time.Time, a answer, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case err != nil:
		i.faults = append(i.faults, fmt.Sprint(what, ": ", err))
	case a.refusal == "":
		i.faults = append(i.faults, fmt.Sprint(what, " was accepted: ", a))
	case a.outcome() == structs.OutcomeNotRun:
		i.notRun = append(i.notRun, what)
	case asked.After(i.cut.Add(cutNoticed)):
		i.faults = append(i.faults, fmt.Sprint(what, ": unknown although the cut was known: ", a))
	default:
		i.unknown++
	}
}

// check compares what was refused as not run with what has run.
func (i *isolatedCaller) check(w *versionLog, executors []*standin.Executor) {
	Expect(i.faults).To(BeEmpty())
	Expect(i.notRun).To(ContainElement(HavePrefix("isolated change")))
	Expect(i.notRun).To(ContainElement(HavePrefix("charge")))
	for version, text := range w.texts {
		wrong := func(what string) bool { return strings.Contains(text, what+"\n") }
		Expect(slices.ContainsFunc(i.notRun, wrong)).To(BeFalse(), "version %d was refused as not run", version)
	}
	for _, e := range executors {
		for key := range e.Stats().RunsByKey {
			Expect(i.notRun).NotTo(ContainElement(key))
		}
	}
}

var _ = Describe("Configuration on a host that is isolated for long (P8, P4)", func() {
	// Guards against a host that comes back from a long silence with an earlier
	// version, stays behind, or offers a change of its own, and against a host
	// that accepts what it cannot do, or says "not run" of what is done later.
	It("refuses truthfully and has the latest version in time once healed", func() {
		c := newCluster(sixHosts)
		c.begin(baseRules())
		executors := c.executors(1, oerlikon, altstetten, renens)
		c.awaitServing(c.hosts...)
		w := watchVersions(c)
		var isolated, leader *process
		Eventually(func() *process {
			isolated = c.leader("config", c.hosts...)
			return isolated
		}, "5s", "50ms").ShouldNot(BeNil())
		i := &isolatedCaller{c: c, host: isolated, cut: time.Now()}
		c.cut(true, isolated)
		i.repeat(i.changeRules)
		for _, home := range []string{oerlikon, altstetten, renens} {
			i.repeat(i.charges(home))
		}
		Eventually(func() *process {
			leader = c.leader("config", c.others(isolated)...)
			return leader
		}, "10s", "50ms").ShouldNot(Or(BeNil(), Equal(isolated)))
		newest := uint64(1)
		for newest <= isolatedChanges || time.Since(i.cut) < isolationLength() {
			newest = max(newest, c.applyChange(leader))
			time.Sleep(isolatedPause)
		}
		i.wg.Wait()
		Expect(c.version(isolated)).To(BeEquivalentTo(1), "the last version that it could accept stays in force")

		healed := time.Now()
		c.cut(false, isolated)
		Eventually(func() uint64 { return c.version(isolated) }, inForceBound.String(), "5ms").Should(Equal(newest))
		AddReportEntry("isolation", fmt.Sprintf("%v, version %d in force %v after heal, %d refused as not run, %d unknown",
			healed.Sub(i.cut), newest, time.Since(healed), len(i.notRun), i.unknown), ReportEntryVisibilityAlways)
		c.awaitVersion(c.applyChange(isolated), inForceBound.String())
		Expect(w.done()).To(BeEmpty())
		i.check(w, executors)
	})
})
