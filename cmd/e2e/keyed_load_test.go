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

// keyHistory holds all responses that the callers of one request key received.
type keyHistory struct {
	key     string
	body    string
	answers []string
	notRun  int
	unknown int
	// resent is false for keys that are abandoned after the first refusal.
	resent bool
}

// keyedLoad sends non-idempotent requests whose keys all have the same home
// failure domain, and resends them through other hosts until they are answered.
type keyedLoad struct {
	c       *cluster
	home    string
	workMS  string
	mu      sync.Mutex
	history []*keyHistory
	lastKey int
	// failures counts the requests without an answer by host and reason.
	failures map[string]int
	wg       sync.WaitGroup
	cancel   context.CancelFunc
}

const (
	// maxSends is the maximum number of sends of one key during the load.
	maxSends = 6
	// keyedRequestPause is the pause of a caller between two keys.
	keyedRequestPause = 10 * time.Millisecond
)

// startKeyedLoad starts a load with the given number of callers. The run time of
// each request is work.
func startKeyedLoad(c *cluster, home string, callers int, work time.Duration) *keyedLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &keyedLoad{c: c, home: home, cancel: cancel, workMS: strconv.FormatInt(work.Milliseconds(), 10), failures: map[string]int{}}
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
		for attempt := 0; attempt < maxSends && ctx.Err() == nil; attempt++ {
			if l.send(l.c.hosts[rng.IntN(len(l.c.hosts))], h) || !h.resent {
				break
			}
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
		time.Sleep(keyedRequestPause)
	}
}

// newKey returns a new key whose home is the failure domain of the load.
func (l *keyedLoad) newKey() *keyHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		l.lastKey++
		key := "charge-" + strconv.Itoa(l.lastKey)
		if routing.HomeDomain(customer+"/"+key, []string{oerlikon, altstetten, renens}) == l.home {
			h := &keyHistory{key: key, body: "fee of " + key}
			l.history = append(l.history, h)
			return h
		}
	}
}

// send sends the request of a key once and reports whether it was answered.
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
		l.failures[p.id+" "+err.Error()]++
	case a.refusal == "":
		h.answers = append(h.answers, a.String())
		return true
	case a.outcome() == structs.OutcomeNotRun:
		h.notRun++
		l.failures[p.id+" not run "+a.refusal]++
	default:
		h.unknown++
		l.failures[p.id+" unknown "+a.refusal]++
	}
	return false
}

func (l *keyedLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// answered returns the number of keys answered so far.
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

// awaitAnsweredKeys waits until the given number of further keys has been
// answered.
func (l *keyedLoad) awaitAnsweredKeys(more int) {
	from := l.answered()
	Eventually(l.answered, "10s", "20ms").Should(BeNumerically(">=", from+more), l.describeFailures)
}

// describeFailures lists the requests without an answer, for the message of a
// failed wait.
func (l *keyedLoad) describeFailures() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint("requests with keys are answered again; without an answer so far: ", l.failures)
}

// check stops the load, resends each key that may be resent, and compares the
// responses to the callers with the runs on the executors.
func (l *keyedLoad) check(executors []*standin.Executor) {
	l.stop()
	l.resendAll()
	runs := map[string]int{}
	for _, e := range executors {
		for key, n := range e.Stats().RunsByKey {
			runs[key] += n
		}
	}
	var violations []string
	counts := map[string]int{}
	for _, h := range l.history {
		counts[outcomeOf(h)]++
		if violation := violationOf(h, runs[h.key]); violation != "" {
			violations = append(violations, violation)
		}
	}
	AddReportEntry("keys", fmt.Sprint(counts), ReportEntryVisibilityAlways)
	Expect(violations).To(BeEmpty())
}

// resendFirst resends the first answered keys through one host until each is
// answered again.
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

// resendAll sends each key through two hosts concurrently. It is called after
// all faults have ended.
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

func outcomeOf(h *keyHistory) string {
	switch {
	case len(h.answers) > 0:
		return "answered"
	case h.unknown > 0:
		return "unknown"
	}
	return "not run"
}

// violationOf describes how the number of runs of a key contradicts the
// responses to its callers. It returns "" if they agree.
func violationOf(h *keyHistory, runs int) string {
	details := fmt.Sprintf("key %s: %d runs, %d answers, %d not run, %d unknown", h.key, runs, len(h.answers), h.notRun, h.unknown)
	slices.Sort(h.answers)
	switch {
	case runs > 1:
		return "ran more than once: " + details
	case len(h.answers) > 0 && runs != 1:
		return "answered without a run: " + details
	case len(h.answers) == 0 && h.unknown == 0 && runs != 0:
		return "reported as not run but ran: " + details
	case len(slices.Compact(h.answers)) > 1:
		return "different answers: " + details
	case len(h.answers) > 0 && h.answers[0] != "200 "+h.body:
		return "answer of another request: " + details
	}
	return ""
}
