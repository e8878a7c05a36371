package target

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// tickInterval is the resolution of the timer that all workers share.
	tickInterval = 10 * time.Millisecond
	renewTimeout = 2 * time.Second
	// maxConnections bounds the connections to one host. The owner holds the
	// response to a renewal, so each worker of a failure domain needs a connection.
	maxConnections = 1_024
	workerCores    = 64
	workerMemoryMB = 256_000
)

// fleet simulates all workers of a run.
type fleet struct {
	start   time.Time
	client  *fasthttp.Client
	tracker *tracker
	workers []*worker
	// bytes counts the bytes exchanged with each host, by its address.
	bytes          map[string]*atomic.Int64
	renewals       atomic.Int64
	failedRenewals atomic.Int64
	stop           chan struct{}
	wg             sync.WaitGroup
}

func newFleet(c *cluster) *fleet {
	f := &fleet{start: time.Now(), tracker: newTracker(), bytes: map[string]*atomic.Int64{}, stop: make(chan struct{})}
	for _, h := range c.hosts {
		f.bytes[h.http] = &atomic.Int64{}
	}
	f.client = &fasthttp.Client{
		ReadTimeout: renewTimeout, WriteTimeout: renewTimeout, MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost: maxConnections, Dial: f.dial, NoDefaultUserAgentHeader: true,
	}
	for i := range c.size.workers {
		f.addWorker(c, i)
	}
	f.wg.Go(f.runTimer)
	return f
}

func (f *fleet) addWorker(c *cluster, i int) {
	domain := domainName(i % c.size.domains)
	position := i / c.size.domains
	w := &worker{fleet: f, tasks: map[memberID]*task{}, self: structs.Worker{
		ID: domain + "-worker-" + strconv.Itoa(position), Domain: domain, Rack: domain + "-rack-" + strconv.Itoa(position/workersInRack),
		Accelerators: c.size.perWorker, Cores: workerCores, MemoryMB: workerMemoryMB,
	}}
	var hosts []string
	for _, h := range c.inDomain(domain) {
		hosts = append(hosts, h.http)
	}
	w.hosts = agent.NewHostList(hosts, position%len(hosts))
	w.agent = agent.New(w.self, uint64(time.Now().UnixNano()))
	// The first renewals are spread over one second, because the workers of a real
	// deployment do not renew at the same time.
	w.nextRenewal = f.start.Add(time.Second * time.Duration(i) / time.Duration(c.size.workers))
	f.workers = append(f.workers, w)
}

// runTimer ticks all workers until the fleet is closed.
func (f *fleet) runTimer() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-ticker.C:
			for _, w := range f.workers {
				w.tick(now)
			}
		}
	}
}

func (f *fleet) close() {
	close(f.stop)
	f.wg.Wait()
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// dial connects to a host and counts the bytes of the connection.
func (f *fleet) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, renewTimeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: f.bytes[address]}, nil
}

// totalBytes returns the bytes exchanged with all hosts.
func (f *fleet) totalBytes() int64 {
	sum := int64(0)
	for _, b := range f.bytes {
		sum += b.Load()
	}
	return sum
}

// postRenewal sends one renewal to one host, which may hold the response.
func (f *fleet) postRenewal(server string, body []byte, hold time.Duration) (structs.WorkerOrders, bool) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + server + api.PathWorkerRenew)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+workerToken)
	request.Header.Set(api.HeaderWait, strconv.FormatInt(hold.Milliseconds(), 10))
	request.SetBody(body)
	f.renewals.Add(1)
	var orders structs.WorkerOrders
	err := f.client.Do(request, response)
	if err != nil || response.StatusCode() != fasthttp.StatusOK || json.Unmarshal(response.Body(), &orders) != nil {
		f.failedRenewals.Add(1)
		return orders, false
	}
	return orders, true
}
