package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/routing"
	"cranberrydrum.dev/scheduler/structs"
)

// keyHistory is what the callers of one request key were told.
type keyHistory struct {
	key     string
	body    string
	answers []string
	notRun  int
	unknown int
	// resent is false for keys that are given up after the first refusal.
	resent bool
}

// keyedLoad sends non-idempotent requests whose keys have one home and resends
// them through other hosts until they are answered.
type keyedLoad struct {
	c       *cluster
	home    string
	workMS  string
	mu      sync.Mutex
	history []*keyHistory
	next    int
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

const (
	// keyedResends bounds the resends of one key during the load.
	keyedResends = 6
	// keyedPause is the time of one caller between two requests.
	keyedPause = 10 * time.Millisecond
)

// startKeyedLoad starts callers. Work is the run time of each request.
func startKeyedLoad(c *cluster, home string, callers int, work time.Duration) *keyedLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &keyedLoad{c: c, home: home, cancel: cancel, workMS: strconv.FormatInt(work.Milliseconds(), 10)}
	for i := range callers {
		l.wg.Add(1)
		go func() {
			defer GinkgoRecover()
			defer l.wg.Done()
			l.run(ctx, rand.New(rand.NewPCG(uint64(i), 7)))
		}()
	}
	DeferCleanup(cancel)
	return l
}

func (l *keyedLoad) run(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		h := l.newKey()
		h.resent = rng.IntN(4) > 0
		for try := 0; try < keyedResends && ctx.Err() == nil; try++ {
			if l.send(l.c.hosts[rng.IntN(len(l.c.hosts))], h) || !h.resent {
				break
			}
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		time.Sleep(keyedPause)
	}
}

// newKey returns a key whose home is the load's failure domain.
func (l *keyedLoad) newKey() *keyHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		l.next++
		key := "charge-" + strconv.Itoa(l.next)
		if routing.HomeDomain(customer+"/"+key, []string{oerlikon, altstetten, renens}) == l.home {
			h := &keyHistory{key: key, body: "fee of " + key}
			l.history = append(l.history, h)
			return h
		}
	}
}

// send sends a key once and reports whether it was answered.
func (l *keyedLoad) send(p *process, h *keyHistory) bool {
	headers := map[string]string{
		api.HeaderNonIdempotent: "true", api.HeaderKey: h.key,
		api.HeaderDeadline: "4000", standin.HeaderWorkMS: l.workMS,
	}
	a, err := l.c.request(p, h.body, headers)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		h.unknown++
	case a.refusal == "":
		h.answers = append(h.answers, a.String())
		return true
	case a.outcome() == structs.OutcomeNotRun:
		h.notRun++
	default:
		h.unknown++
	}
	return false
}

func (l *keyedLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// answered returns how many keys were answered so far.
func (l *keyedLoad) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.history {
		if len(h.answers) > 0 {
			n++
		}
	}
	return n
}

// awaitAnswers waits until further keys were answered.
func (l *keyedLoad) awaitAnswers(more int) {
	from := l.answered()
	Eventually(l.answered, "10s", "20ms").Should(BeNumerically(">=", from+more), "requests with keys are answered again")
}

// check stops the load, resends each key that may be resent and compares what
// the callers were told with what the executors ran.
func (l *keyedLoad) check(executors []*standin.Executor) {
	l.stop()
	l.resendAll()
	runs := map[string]int{}
	for _, e := range executors {
		for key, n := range e.Stats().RunsByKey {
			runs[key] += n
		}
	}
	var faults []string
	told := map[string]int{}
	for _, h := range l.history {
		told[kindOf(h)]++
		if fault := faultOf(h, runs[h.key]); fault != "" {
			faults = append(faults, fault)
		}
	}
	AddReportEntry("keys", fmt.Sprint(told), ReportEntryVisibilityAlways)
	Expect(faults).To(BeEmpty())
}

// resendFirst sends the first answered keys again through one host, until each
// was answered again.
func (l *keyedLoad) resendFirst(p *process, count int) {
	l.mu.Lock()
	var list []*keyHistory
	for _, h := range l.history {
		if len(h.answers) > 0 && len(list) < count {
			list = append(list, h)
		}
	}
	l.mu.Unlock()
	for _, h := range list {
		Eventually(func() bool { return l.send(p, h) }, "10s", "10ms").Should(BeTrue(), h.key)
	}
}

// resendAll sends each key through two hosts at once, when all is healed.
func (l *keyedLoad) resendAll() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i, h := range l.history {
		if !h.resent {
			continue
		}
		for j := range 2 {
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				defer func() { <-slots }()
				l.send(l.c.hosts[(i+j)%len(l.c.hosts)], h)
			}()
		}
	}
	wg.Wait()
}

func kindOf(h *keyHistory) string {
	switch {
	case len(h.answers) > 0:
		return "answered"
	case h.unknown > 0:
		return "unknown"
	}
	return "not run"
}

// faultOf returns how the runs of a key contradict what its callers were told.
func faultOf(h *keyHistory, runs int) string {
	about := fmt.Sprintf("key %s: %d runs, %d answers, %d not run, %d unknown", h.key, runs, len(h.answers), h.notRun, h.unknown)
	slices.Sort(h.answers)
	switch {
	case runs > 1:
		return "ran more than once: " + about
	case len(h.answers) > 0 && runs != 1:
		return "answered without a run: " + about
	case len(h.answers) == 0 && h.unknown == 0 && runs != 0:
		return "reported as not run but ran: " + about
	case len(slices.Compact(h.answers)) > 1:
		return "different answers: " + about
	case len(h.answers) > 0 && h.answers[0] != "200 "+h.body:
		return "answer of another request: " + about
	}
	return ""
}
