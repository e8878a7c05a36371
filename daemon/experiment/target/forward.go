package target

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	forwardedExecutors   = 4
	forwardedBodyBytes   = 64 << 10
	forwardedSenders     = 48
	forwardedServiceTime = 10 * time.Millisecond
	forwardedDeadline    = 10 * time.Second
)

// forwarded measures configuration changes while forwarded requests saturate the
// link between the regions. Only the other region has executors for them.
func (r *run) forwarded() error {
	executors, err := r.startExecutors()
	defer func() {
		for _, e := range executors {
			e.Kill()
		}
	}()
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var answered, refused atomic.Int64
	var senders sync.WaitGroup
	for i := range forwardedSenders {
		senders.Go(func() { r.sendRequests(i, stop, &answered, &refused) })
	}
	time.Sleep(r.size.linkWarmUp)
	before, start := r.cluster.region.Bytes(), time.Now()
	err = r.measureChanges("configuration change with a filled link")
	seconds := time.Since(start).Seconds()
	carried := float64(r.cluster.region.Bytes() - before)
	close(stop)
	senders.Wait()
	r.add(unbounded("traffic between the regions meanwhile, both directions", "Mbit/s", carried*8/seconds/1e6,
		strconv.FormatInt(answered.Load(), 10)+" requests answered, "+strconv.FormatInt(refused.Load(), 10)+" refused"))
	return err
}

// startExecutors starts executors in the second region only.
func (r *run) startExecutors() ([]*standin.Executor, error) {
	domain := domainName(r.size.domains - 1)
	var urls []string
	for _, h := range r.cluster.inDomain(domain) {
		urls = append(urls, "http://"+h.http)
	}
	var executors []*standin.Executor
	for i := range forwardedExecutors {
		e, err := standin.NewExecutor(standin.ExecutorConfig{
			ID: "executor-" + strconv.Itoa(i), Service: serviceName, Domain: domain, Hosts: urls, Token: backendToken,
			Slots: 8, Connections: 64, ServiceTime: forwardedServiceTime, Seed: uint64(i),
		})
		if err != nil {
			return executors, err
		}
		executors = append(executors, e)
	}
	return executors, nil
}

// sendRequests sends requests to one host of the first region, one after the
// other, until stop is closed.
func (r *run) sendRequests(i int, stop chan struct{}, answered, refused *atomic.Int64) {
	hosts := r.cluster.inDomain(domainName(0))
	client, err := api.NewClient(api.ClientConfig{Servers: []string{hosts[i%len(hosts)].http}, Token: callerToken})
	if err != nil {
		return
	}
	body := make([]byte, forwardedBodyBytes)
	for {
		select {
		case <-stop:
			return
		default:
		}
		_, err := client.Send(api.ServiceRequest{Service: serviceName, Class: structs.ClassNormal, Deadline: forwardedDeadline, Body: body})
		if err != nil {
			refused.Add(1)
			time.Sleep(refusalBackoff)
			continue
		}
		answered.Add(1)
	}
}

// refusalBackoff is the delay after a refusal. Without it, refused senders would
// use up the CPU of the hosts.
const refusalBackoff = 50 * time.Millisecond
