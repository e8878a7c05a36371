package control

import (
	"maps"
	"slices"
	"time"
)

// Sizes of the measured deployments.
var (
	hostCounts     = []int{2, 6, 9}
	customerCounts = []int{4, 40, 110}
	executorCounts = []int{0, 50, 200}
)

const (
	measuredRacks = 8
	// fewCustomers is the number of customers where the number of hosts or executors
	// varies.
	fewCustomers = 4
	// executorHosts is the number of hosts where the number of customers or executors
	// varies.
	executorHosts = 6
	// settleTime is the wait after a change of the rules or the start of
	// announcements, before a measurement.
	settleTime       = 2 * time.Second
	announceInterval = time.Second
	measuredChanges  = 9
)

// clusterRates is the use of all hosts of a deployment: bytes sent per second, by
// kind of frame, and CPU seconds per second.
type clusterRates struct {
	bytes map[string]float64
	cpu   float64
}

// deploymentCost is the cost of a deployment of one size: the rates of an idle
// deployment, and the times and bytes of changes of its rules.
type deploymentCost struct {
	idle                  clusterRates
	acceptedMS, inForceMS float64
	maxInForceMS          float64
	changeBytes           float64
}

func measureHosts(o Options) ([]Row, error) {
	var byHosts []Point
	costs := map[int]deploymentCost{}
	for _, hosts := range hostCounts {
		cost, err := measureDeployment(o, hosts, fewCustomers)
		if err != nil {
			return nil, err
		}
		costs[hosts] = cost
		byHosts = append(byHosts, Point{Size: float64(hosts)})
	}
	rows := idleRateRows(byHosts, costs)
	rows = append(rows, changeRows("hosts", hostCounts, costs)...)
	byCustomers := map[int]deploymentCost{}
	for _, customers := range customerCounts {
		cost, err := measureDeployment(o, executorHosts, customers)
		if err != nil {
			return nil, err
		}
		byCustomers[customers] = cost
	}
	rows = append(rows, changeRows("customers with 6 hosts", customerCounts, byCustomers)...)
	executors, err := executorRows(o)
	return append(rows, executors...), err
}

// measureDeployment measures an idle deployment and changes of its rules.
func measureDeployment(o Options, hosts, customers int) (deploymentCost, error) {
	c, err := newCluster(hosts)
	if err != nil {
		return deploymentCost{}, err
	}
	defer c.close()
	if _, _, err := c.applyRules(measuredRacks, customers); err != nil {
		return deploymentCost{}, err
	}
	time.Sleep(settleTime)
	var cost deploymentCost
	if cost.idle, err = c.measureRates(o.seconds(10*time.Second, time.Second)); err != nil {
		return cost, err
	}
	return cost, c.measureChanges(o, customers, &cost)
}

// measureRates measures the traffic and the CPU time of all hosts over a period.
func (c *cluster) measureRates(length time.Duration) (clusterRates, error) {
	before, err := c.sentBytes()
	if err != nil {
		return clusterRates{}, err
	}
	start, cpu := time.Now(), processCPU()
	time.Sleep(length)
	after, err := c.sentBytes()
	if err != nil {
		return clusterRates{}, err
	}
	seconds := time.Since(start).Seconds()
	rates := clusterRates{bytes: map[string]float64{}, cpu: (processCPU() - cpu).Seconds() / seconds}
	for kind, bytes := range after {
		rates.bytes[kind] = (bytes - before[kind]) / seconds
	}
	return rates, nil
}

// total returns the bytes per second of all kinds of frame, added in the order of
// their names.
func (rates clusterRates) total() float64 {
	sum := 0.0
	for _, kind := range slices.Sorted(maps.Keys(rates.bytes)) {
		sum += rates.bytes[kind]
	}
	return sum
}

// measureChanges applies changes of the rules. It subtracts the idle traffic from the
// bytes sent.
func (c *cluster) measureChanges(o Options, customers int, cost *deploymentCost) error {
	var accepted, inForce []float64
	changes := measuredChanges
	if o.Quick {
		changes = 1
	}
	before, err := c.sentBytes()
	if err != nil {
		return err
	}
	start := time.Now()
	for range changes {
		a, f, err := c.applyRules(measuredRacks, customers)
		if err != nil {
			return err
		}
		accepted = append(accepted, float64(a.Microseconds())/1000)
		inForce = append(inForce, float64(f.Microseconds())/1000)
		time.Sleep(o.seconds(settleTime/2, settleTime/8))
	}
	after, err := c.sentBytes()
	if err != nil {
		return err
	}
	sum := 0.0
	for _, kind := range slices.Sorted(maps.Keys(after)) {
		sum += after[kind] - before[kind]
	}
	sum -= cost.idle.total() * time.Since(start).Seconds()
	cost.changeBytes = sum / float64(changes)
	cost.acceptedMS, cost.inForceMS, cost.maxInForceMS = median(accepted), median(inForce), slices.Max(inForce)
	return nil
}

var frameKinds = []string{"raft", "host_status", "registry", "slots", "heartbeat"}

// idleRateRows returns the traffic and CPU of one idle host against the number of
// hosts.
func idleRateRows(sizes []Point, costs map[int]deploymentCost) []Row {
	row := func(quantity, unit string, value func(deploymentCost) float64) Row {
		r := Row{Quantity: quantity, Unit: unit, Against: "hosts"}
		for _, p := range sizes {
			r.Points = append(r.Points, Point{p.Size, value(costs[int(p.Size)]) / p.Size})
		}
		return r
	}
	var rows []Row
	for _, kind := range frameKinds {
		rows = append(rows, row("idle host sends: "+kind, "B/s", func(c deploymentCost) float64 { return c.idle.bytes[kind] }))
	}
	rows = append(rows, row("idle host sends: all kinds", "B/s", func(c deploymentCost) float64 { return c.idle.total() }))
	return append(rows, row("idle host in one process with the others", "% of a core", func(c deploymentCost) float64 { return 100 * c.idle.cpu }))
}

// changeRows returns the times and bytes of changes of the rules.
func changeRows(against string, sizes []int, costs map[int]deploymentCost) []Row {
	row := func(quantity, unit string, value func(deploymentCost) float64) Row {
		r := Row{Quantity: quantity, Unit: unit, Against: against}
		for _, size := range sizes {
			r.Points = append(r.Points, Point{float64(size), value(costs[size])})
		}
		return r
	}
	return []Row{
		row("configuration change: submission to acceptance (median)", "ms", func(c deploymentCost) float64 { return c.acceptedMS }),
		row("configuration change: acceptance to in force everywhere (median)", "ms", func(c deploymentCost) float64 { return c.inForceMS }),
		row("configuration change: acceptance to in force everywhere (slowest)", "ms", func(c deploymentCost) float64 { return c.maxInForceMS }),
		row("configuration change: bytes of all hosts", "B", func(c deploymentCost) float64 { return c.changeBytes }),
	}
}

// executorRows measures the traffic between hosts against the number of announced
// executors.
func executorRows(o Options) ([]Row, error) {
	c, err := newCluster(executorHosts)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if _, _, err := c.applyRules(measuredRacks, fewCustomers); err != nil {
		return nil, err
	}
	kinds := []string{"registry", "slots", "host_status"}
	points := map[string][]Point{}
	for _, executors := range executorCounts {
		rates, err := c.measureAnnouncements(o, executors)
		if err != nil {
			return nil, err
		}
		for _, kind := range kinds {
			points[kind] = append(points[kind], Point{float64(executors), rates.bytes[kind] / executorHosts})
		}
	}
	var rows []Row
	for _, kind := range kinds {
		rows = append(rows, Row{Quantity: "host sends with executors announced: " + kind, Unit: "B/s", Against: "executors with 6 hosts", Points: points[kind]})
	}
	return rows, nil
}

// measureAnnouncements measures the rates of the hosts while executors announce
// themselves.
func (c *cluster) measureAnnouncements(o Options, executors int) (clusterRates, error) {
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- c.announceLoop(executors, stop) }()
	time.Sleep(settleTime)
	rates, err := c.measureRates(o.seconds(8*time.Second, 2*time.Second))
	close(stop)
	if failed := <-done; failed != nil {
		return rates, failed
	}
	return rates, err
}

// announceLoop announces each executor every second to one host of its failure
// domain, as executors do.
func (c *cluster) announceLoop(executors int, stop chan struct{}) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for sequence := uint64(time.Now().UnixNano()); ; sequence++ {
		for i := range executors {
			h := c.hosts[i%len(c.hosts)]
			b := *backend(i)
			b.Domain = h.domain
			b.ID = h.domain + "-executor-" + decimal(i)
			if err := h.node.HandleAnnouncement(b, sequence); err != nil {
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
