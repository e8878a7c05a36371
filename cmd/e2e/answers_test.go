package e2e_test

import (
	"fmt"
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
	// shortAttemptTimeout is the attempt timeout in the rules of this file.
	// Requests with lateWorkTime exceed it, so the executor responds too late.
	shortAttemptTimeout = 400 * time.Millisecond
	lateWorkTime        = 500 * time.Millisecond
	faultInjectionTime  = 6 * time.Second
)

// responseRecorder checks each response against its request and counts the
// results.
type responseRecorder struct {
	mu   sync.Mutex
	sent int
	// matched counts the responses with the body of their request.
	matched int
	// refused counts the refusals by code. notRun lists the keys of the requests
	// that were refused as not run.
	refused    map[string]int
	notRun     []string
	violations []string
}

// record checks the response to a request with the given unique key and body.
func (r *responseRecorder) record(key, body string, a response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.violations = append(r.violations, key+": no answer: "+err.Error())
	case a.refusal != "":
		r.refused[a.refusal]++
		if a.outcome() == structs.OutcomeNotRun {
			r.notRun = append(r.notRun, key)
		}
	case string(a.body) == body:
		r.matched++
	default:
		r.violations = append(r.violations, fmt.Sprintf("%s: %d bytes of %d, %.40q instead of %.40q", key, len(a.body), len(body), a.body, body))
	}
}

func (r *responseRecorder) nextKey() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	return "question-" + strconv.Itoa(r.sent)
}

// requestPattern describes the requests of one caller: the pause between two
// requests, their deadline, and for the n-th request the number of repetitions
// of its key in the body and its work time.
type requestPattern struct {
	pause    time.Duration
	deadline time.Duration
	size     func(n int) int
	work     func(n int) time.Duration
}

// mixedPattern has requests of different sizes. Every 25th one takes longer than
// the attempt timeout, so its response arrives after the attempt has been
// abandoned.
var mixedPattern = requestPattern{
	pause:    5 * time.Millisecond,
	deadline: 3 * time.Second,
	size:     func(n int) int { return 1 + n%4*200 },
	work: func(n int) time.Duration {
		if n%25 == 24 {
			return lateWorkTime
		}
		return 5 * time.Millisecond
	},
}

// smallPattern and largePattern are the requests of a burst. A large body has
// about 500 KB, half of the maximum that hosts forward to each other.
var (
	smallPattern = requestPattern{
		pause:    time.Millisecond,
		deadline: time.Second,
		size:     func(n int) int { return 1 + n%3 },
		work:     func(int) time.Duration { return 2 * time.Millisecond },
	}
	largePattern = requestPattern{
		pause:    20 * time.Millisecond,
		deadline: time.Second,
		size:     func(int) int { return 35_000 },
		work:     func(int) time.Duration { return 60 * time.Millisecond },
	}
)

// run sends requests of a pattern until done is closed.
func (r *responseRecorder) run(c *cluster, p *process, pattern requestPattern, done chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(pattern.pause):
		}
		key := r.nextKey()
		body := strings.Repeat(key+" ", pattern.size(n))
		work := pattern.work(n)
		a, err := c.request(p, body, map[string]string{api.HeaderKey: key, api.HeaderDeadline: strconv.FormatInt(pattern.deadline.Milliseconds(), 10), standin.HeaderWorkMS: strconv.FormatInt(work.Milliseconds(), 10)})
		r.record(key, body, a, err)
	}
}

var _ = Describe("Answers (P3, P4)", func() {
	// Guards against a response that is delivered to another caller through a
	// reused connection, a truncated body that is forwarded as complete, and a
	// refusal as not run of a request that an executor has received.
	It("are whole and belong to their request while executors misbehave", func() {
		c := newCluster(threeHosts)
		c.applyInitialRules(strings.Replace(baseRules(), "attempt-timeout=5s", "attempt-timeout="+shortAttemptTimeout.String(), 1))
		executors := c.startExecutors(4, oerlikon)
		hosts := c.inDomain(oerlikon)
		c.awaitServing(hosts...)
		recorder := &responseRecorder{refused: map[string]int{}}
		done := make(chan struct{})
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				recorder.run(c, hosts[i%len(hosts)], mixedPattern, done)
			}()
		}
		for round := 0; time.Duration(round)*time.Second/2 < faultInjectionTime; round++ {
			executors[0].SilenceOpenConnections()
			executors[1].SetTruncateResponses(round%2 == 0)
			time.Sleep(500 * time.Millisecond)
		}
		close(done)
		wg.Wait()
		recorder.check(executors)
	})

	// Guards against responses that are mixed up or truncated when an entry host
	// is frozen while responses are in transit to it or through it, and is woken
	// after the calls have timed out. The third host has no executors and
	// forwards its requests.
	It("are whole and belong to their request in a burst, with entry hosts frozen and woken", func() {
		c := newCluster(threeHosts)
		c.applyInitialRules(baseRules())
		executors := c.startExecutors(4, oerlikon)
		c.awaitServing(c.hosts...)
		recorder := &responseRecorder{refused: map[string]int{}}
		done := make(chan struct{})
		var wg sync.WaitGroup
		for i := range 30 {
			kind := smallPattern
			if i >= 24 {
				kind = largePattern
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				recorder.run(c, c.hosts[i%len(c.hosts)], kind, done)
			}()
		}
		for i, frozen := range []time.Duration{freezePastDeadline, freezePastDeadline, freezePastSilence} {
			time.Sleep(300 * time.Millisecond)
			c.hosts[i].freeze()
			time.Sleep(frozen)
			c.hosts[i].unfreeze()
		}
		time.Sleep(300 * time.Millisecond)
		close(done)
		wg.Wait()
		recorder.check(executors)
	})
})

const (
	// freezePastDeadline exceeds the deadline of the burst requests but is short
	// enough for connections to survive, so that responses arrive for abandoned
	// calls.
	freezePastDeadline = 1500 * time.Millisecond
	// freezePastSilence exceeds the silence after which hosts close a
	// connection.
	freezePastSilence = 2300 * time.Millisecond
)

// check requires that each caller got the response to its own request, and that
// no executor received a request that was refused as not run.
func (r *responseRecorder) check(executors []*standin.Executor) {
	AddReportEntry("answers", fmt.Sprint(r.sent, " sent, ", r.matched, " answered, refused ", r.refused), ReportEntryVisibilityAlways)
	Expect(r.violations).To(BeEmpty())
	Expect(r.matched).To(BeNumerically(">", r.sent/2))
	for _, e := range executors {
		runs := e.Stats().RunsByKey
		for _, key := range r.notRun {
			Expect(runs).NotTo(HaveKey(key), "reported as not run")
		}
	}
}
