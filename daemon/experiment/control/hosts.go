package control

import (
	"maps"
	"slices"
	"time"
)

// Sizes of the deployments that are measured.
var (
	hostCounts     = []int{2, 6, 9}
	customerCounts = []int{4, 40, 110}
	executorCounts = []int{0, 50, 200}
)

const (
	measuredRacks    = 8
	fewCustomers     = 4
	executorHosts    = 6
	settleTime       = 2 * time.Second
	announceInterval = time.Second
	changesMeasured  = 9
)

// traffic is what all hosts of a deployment send and use in a second.
type traffic struct {
	bytes map[string]float64
	cpu   float64
}

// hostCost is what a deployment of one size costs.
type hostCost struct {
	idle              traffic
	accepted, inForce float64
	slowest           float64
	changeBytes       float64
}

func measureHosts(o Options) ([]Row, error) {
	var byHosts []Point
	costs := map[int]hostCost{}
	for _, hosts := range hostCounts {
		cost, err := hostsCost(o, hosts, fewCustomers)
		if err != nil {
			return nil, err
		}
		costs[hosts] = cost
		byHosts = append(byHosts, Point{Size: float64(hosts)})
	}
	rows := trafficRows(byHosts, costs)
	rows = append(rows, changeRows("hosts", hostCounts, costs)...)
	byCustomers := map[int]hostCost{}
	for _, customers := range customerCounts {
		cost, err := hostsCost(o, executorHosts, customers)
		if err != nil {
			return nil, err
		}
		byCustomers[customers] = cost
	}
	rows = append(rows, changeRows("customers with 6 hosts", customerCounts, byCustomers)...)
	executors, err := executorRows(o)
	return append(rows, executors...), err
}

// hostsCost measures an idle deployment and changes of its rules.
func hostsCost(o Options, hosts, customers int) (hostCost, error) {
	c, err := newCluster(hosts)
	if err != nil {
		return hostCost{}, err
	}
	defer c.close()
	if _, _, err := c.apply(measuredRacks, customers); err != nil {
		return hostCost{}, err
	}
	time.Sleep(settleTime)
	var cost hostCost
	if cost.idle, err = c.observe(o.seconds(10*time.Second, time.Second)); err != nil {
		return cost, err
	}
	return cost, c.measureChanges(o, customers, &cost)
}

// observe measures the traffic and the CPU time of all hosts for a while.
func (c *cluster) observe(length time.Duration) (traffic, error) {
	before, err := c.sent()
	if err != nil {
		return traffic{}, err
	}
	start, cpu := time.Now(), processCPU()
	time.Sleep(length)
	after, err := c.sent()
	if err != nil {
		return traffic{}, err
	}
	seconds := time.Since(start).Seconds()
	t := traffic{bytes: map[string]float64{}, cpu: (processCPU() - cpu).Seconds() / seconds}
	for kind, bytes := range after {
		t.bytes[kind] = (bytes - before[kind]) / seconds
	}
	return t, nil
}

func (t traffic) total() float64 {
	sum := 0.0
	for _, kind := range slices.Sorted(maps.Keys(t.bytes)) {
		sum += t.bytes[kind]
	}
	return sum
}

// measureChanges applies changes and subtracts the idle traffic from the bytes.
func (c *cluster) measureChanges(o Options, customers int, cost *hostCost) error {
	var accepted, inForce []float64
	changes := changesMeasured
	if o.Quick {
		changes = 1
	}
	before, err := c.sent()
	if err != nil {
		return err
	}
	start := time.Now()
	for range changes {
		a, f, err := c.apply(measuredRacks, customers)
		if err != nil {
			return err
		}
		accepted = append(accepted, float64(a.Microseconds())/1000)
		inForce = append(inForce, float64(f.Microseconds())/1000)
		time.Sleep(o.seconds(settleTime/2, settleTime/8))
	}
	after, err := c.sent()
	if err != nil {
		return err
	}
	sum := 0.0
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		sum += after[kind] - before[kind]
	}
	sum -= cost.idle.total() * time.Since(start).Seconds()
	cost.changeBytes = sum / float64(changes)
	cost.accepted, cost.inForce, cost.slowest = median(accepted), median(inForce), slices.Max(inForce)
	return nil
}

var frameKinds = []string{"raft", "host_status", "registry", "slots", "heartbeat"}

// trafficRows returns the idle traffic of one host against the number of hosts.
func trafficRows(sizes []Point, costs map[int]hostCost) []Row {
	row := func(quantity, unit string, value func(hostCost) float64) Row {
		r := Row{Quantity: quantity, Unit: unit, Against: "hosts"}
		for _, p := range sizes {
			r.Points = append(r.Points, Point{p.Size, value(costs[int(p.Size)]) / p.Size})
		}
		return r
	}
	var rows []Row
	for _, kind := range frameKinds {
		rows = append(rows, row("idle host sends: "+kind, "B/s", func(c hostCost) float64 { return c.idle.bytes[kind] }))
	}
	rows = append(rows, row("idle host sends: all kinds", "B/s", func(c hostCost) float64 { return c.idle.total() }))
	return append(rows, row("idle host in one process with the others", "% of a core", func(c hostCost) float64 { return 100 * c.idle.cpu }))
}

func changeRows(against string, sizes []int, costs map[int]hostCost) []Row {
	row := func(quantity, unit string, value func(hostCost) float64) Row {
		r := Row{Quantity: quantity, Unit: unit, Against: against}
		for _, size := range sizes {
			r.Points = append(r.Points, Point{float64(size), value(costs[size])})
		}
		return r
	}
	return []Row{
		row("configuration change: submission to acceptance (median)", "ms", func(c hostCost) float64 { return c.accepted }),
		row("configuration change: acceptance to in force everywhere (median)", "ms", func(c hostCost) float64 { return c.inForce }),
		row("configuration change: acceptance to in force everywhere (slowest)", "ms", func(c hostCost) float64 { return c.slowest }),
		row("configuration change: bytes of all hosts", "B", func(c hostCost) float64 { return c.changeBytes }),
	}
}

// executorRows measures announcements of executors between hosts.
func executorRows(o Options) ([]Row, error) {
	c, err := newCluster(executorHosts)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if _, _, err := c.apply(measuredRacks, fewCustomers); err != nil {
		return nil, err
	}
	kinds := []string{"registry", "slots", "host_status"}
	points := map[string][]Point{}
	for _, executors := range executorCounts {
		t, err := c.announced(o, executors)
		if err != nil {
			return nil, err
		}
		for _, kind := range kinds {
			points[kind] = append(points[kind], Point{float64(executors), t.bytes[kind] / executorHosts})
		}
	}
	var rows []Row
	for _, kind := range kinds {
		rows = append(rows, Row{Quantity: "host sends with executors announced: " + kind, Unit: "B/s", Against: "executors with 6 hosts", Points: points[kind]})
	}
	return rows, nil
}

// announced observes the hosts while executors announce themselves.
func (c *cluster) announced(o Options, executors int) (traffic, error) {
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- c.keepAnnouncing(executors, stop) }()
	time.Sleep(settleTime)
	t, err := c.observe(o.seconds(8*time.Second, 2*time.Second))
	close(stop)
	if failed := <-done; failed != nil {
		return t, failed
	}
	return t, err
}

// keepAnnouncing announces each executor every second to one host of its
// failure domain, as executors do.
func (c *cluster) keepAnnouncing(executors int, stop chan struct{}) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for sequence := uint64(time.Now().UnixNano()); ; sequence++ {
		for i := range executors {
			h := c.hosts[i%len(c.hosts)]
			b := *backend(i)
			b.Domain = h.domain
			b.ID = h.domain + "-executor-" + decimal(i)
			if err := h.node.Announce(b, sequence); err != nil {
				return err
			}
		}
		select {
		case <-stop:
			return nil
		case <-ticker.C:
		}
	}
}
