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

// results collects what callers saw.
type results struct {
	mu       sync.Mutex
	answered map[string]int
	refused  map[structs.Code]int
	lost     int
	wrong    []string
	short    []time.Duration
	// charges maps request keys to the number of answers and refusals seen.
	charges map[string]*charge
}

// charge is what the callers of one request key were told.
type charge struct {
	answers int
	notRun  int
	unknown int
}

func newResults() *results {
	return &results{answered: map[string]int{}, refused: map[structs.Code]int{}, charges: map[string]*charge{}}
}

// load sends requests until it is stopped.
type load struct {
	d       *deployment
	client  *client
	results *results
	stop    chan struct{}
	wg      sync.WaitGroup
}

func newLoad(d *deployment, c *client) *load {
	return &load{d: d, client: c, results: newResults(), stop: make(chan struct{})}
}

// start begins all streams of requests.
func (l *load) start() {
	for i, kind := range l.d.profile.requests {
		l.wg.Add(1)
		go l.stream(kind, rand.New(rand.NewPCG(uint64(i), 7)))
	}
	l.wg.Add(1)
	go l.chargeStream(rand.New(rand.NewPCG(99, 7)))
}

// finish stops the streams and waits for the answers that are still to come.
func (l *load) finish() {
	close(l.stop)
	l.wg.Wait()
}

func (l *load) stream(kind requestKind, rng *rand.Rand) {
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

func (l *load) send(kind requestKind, host *demoHost, body string) {
	defer l.wg.Done()
	start := time.Now()
	r, err := l.client.do(fasthttp.MethodPost, l.serviceURL(host), l.d.profile.token(kind.customer), [][2]string{
		{api.HeaderClass, string(kind.class)},
		{api.HeaderDeadline, strconv.FormatInt(kind.deadline.Milliseconds(), 10)},
		{"X-Work-Ms", strconv.FormatInt(kind.work.Milliseconds(), 10)},
	}, []byte(body))
	l.results.record(kind, body, r, err, time.Since(start))
}

func (l *load) serviceURL(h *demoHost) string {
	return h.url() + api.RequestsPath(l.d.profile.service)
}

func (r *results) record(kind requestKind, body string, got *reply, err error, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.lost++
		if !isTimeout(err) {
			r.wrong = append(r.wrong, "connection broken: "+err.Error())
		}
	case got.refused():
		r.refused[got.refusal.Code]++
	case string(got.body) != body:
		r.wrong = append(r.wrong, fmt.Sprintf("sent %q, got %q", body, got.body))
	default:
		r.answered[kind.name]++
		if kind.short {
			r.short = append(r.short, took)
		}
	}
}

const (
	chargeInterval = 25 * time.Millisecond
	// resends is how often a charge is sent again through another host.
	resends = 2
)

// chargeStream sends non-idempotent requests, each several times through
// different hosts, as callers do after a lost answer.
func (l *load) chargeStream(rng *rand.Rand) {
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

func (l *load) sendCharge(host *demoHost, key string) {
	defer l.wg.Done()
	r, err := l.client.do(fasthttp.MethodPost, l.serviceURL(host), l.d.profile.token(l.d.profile.charge), [][2]string{
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
	c := r.charges[key]
	if c == nil {
		c = &charge{}
		r.charges[key] = c
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
		r.wrong = append(r.wrong, fmt.Sprintf("charge %s got %q", key, got.body))
	default:
		c.answers++
	}
}

// percentile returns a quantile of durations, 0 if there are none.
func percentile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
