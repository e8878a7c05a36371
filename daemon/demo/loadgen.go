package demo

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

// results collects the replies that callers received.
type results struct {
	mu sync.Mutex
	// answered counts the answers by name of the request kind, and refused the
	// refusals by code.
	answered map[string]int
	refused  map[structs.Code]int
	// lost counts the requests without a reply. wrong describes replies to another
	// request and failed connections.
	lost           int
	wrong          []string
	shortLatencies []time.Duration
	// repliesByKey maps request keys to the replies to their requests.
	repliesByKey map[string]*keyReplies
}

// keyReplies counts the replies to the requests with one request key: answers,
// refusals as not run, and outcomes unknown to the caller.
type keyReplies struct {
	answers int
	notRun  int
	unknown int
}

func newResults() *results {
	return &results{answered: map[string]int{}, refused: map[structs.Code]int{}, repliesByKey: map[string]*keyReplies{}}
}

// loadGenerator sends requests to random hosts until it is stopped.
type loadGenerator struct {
	d       *deployment
	client  *client
	results *results
	stop    chan struct{}
	wg      sync.WaitGroup
}

func newLoadGenerator(d *deployment, c *client) *loadGenerator {
	return &loadGenerator{d: d, client: c, results: newResults(), stop: make(chan struct{})}
}

// start starts all request streams.
func (l *loadGenerator) start() {
	for i, kind := range l.d.profile.requests {
		l.wg.Add(1)
		go l.sendStream(kind, rand.New(rand.NewPCG(uint64(i), 7)))
	}
	l.wg.Add(1)
	go l.sendChargeStream(rand.New(rand.NewPCG(99, 7)))
}

// finish stops the streams and waits for the replies to requests in progress.
func (l *loadGenerator) finish() {
	close(l.stop)
	l.wg.Wait()
}

func (l *loadGenerator) sendStream(kind requestKind, rng *rand.Rand) {
	defer l.wg.Done()
	ticker := time.NewTicker(kind.interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		host := l.d.hosts[rng.IntN(len(l.d.hosts))]
		body := kind.name + " " + strconv.Itoa(i)
		l.wg.Add(1)
		go l.send(kind, host, body)
	}
}

func (l *loadGenerator) send(kind requestKind, host *demoHost, body string) {
	defer l.wg.Done()
	start := time.Now()
	r, err := l.client.do(fasthttp.MethodPost, l.serviceURL(host), l.d.profile.token(kind.customer), [][2]string{
		{api.HeaderClass, string(kind.class)},
		{api.HeaderDeadline, strconv.FormatInt(kind.deadline.Milliseconds(), 10)},
		{"X-Work-Ms", strconv.FormatInt(kind.work.Milliseconds(), 10)},
	}, []byte(body))
	l.results.record(kind, body, r, err, time.Since(start))
}

func (l *loadGenerator) serviceURL(h *demoHost) string {
	return h.url() + api.RequestsPath(l.d.profile.service)
}

func (r *results) record(kind requestKind, body string, got *reply, err error, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.lost++
		if !isTimeout(err) {
			r.wrong = append(r.wrong, "connection failed: "+err.Error())
		}
	case got.refused():
		r.refused[got.refusal.Code]++
	case string(got.body) != body:
		r.wrong = append(r.wrong, fmt.Sprintf("request with body %q was answered with %q", body, got.body))
	default:
		r.answered[kind.name]++
		if kind.reportsLatency {
			r.shortLatencies = append(r.shortLatencies, elapsed)
		}
	}
}

const (
	chargeInterval = 25 * time.Millisecond
	// resends is how many times a non-idempotent request is sent again, each time
	// to a random host.
	resends = 2
)

// sendChargeStream sends non-idempotent requests. It sends each one several times
// to random hosts, as callers do that have not received a response.
func (l *loadGenerator) sendChargeStream(rng *rand.Rand) {
	defer l.wg.Done()
	ticker := time.NewTicker(chargeInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		key := "charge-" + strconv.Itoa(i)
		for range 1 + resends {
			host := l.d.hosts[rng.IntN(len(l.d.hosts))]
			l.wg.Add(1)
			go l.sendCharge(host, key)
		}
	}
}

func (l *loadGenerator) sendCharge(host *demoHost, key string) {
	defer l.wg.Done()
	r, err := l.client.do(fasthttp.MethodPost, l.serviceURL(host), l.d.profile.token(l.d.profile.chargeCustomer), [][2]string{
		{api.HeaderKey, key},
		{api.HeaderNonIdempotent, "true"},
		{api.HeaderDeadline, "5000"},
		{"X-Work-Ms", "10"},
	}, []byte("fee for "+key))
	l.results.recordCharge(key, r, err)
}

func (r *results) recordCharge(key string, got *reply, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.repliesByKey[key]
	if c == nil {
		c = &keyReplies{}
		r.repliesByKey[key] = c
	}
	switch {
	case err != nil:
		c.unknown++
	case got.refused() && got.refusal.Outcome == structs.OutcomeNotRun:
		c.notRun++
		r.refused[got.refusal.Code]++
	case got.refused():
		c.unknown++
		r.refused[got.refusal.Code]++
	case string(got.body) != "fee for "+key:
		r.wrong = append(r.wrong, fmt.Sprintf("request with key %s was answered with %q", key, got.body))
	default:
		c.answers++
	}
}

// percentile returns the q-quantile of durations, or 0 for an empty list.
func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
