package e2e_test

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/standin"
)

// Failure domains of testdata/base.rules.
const (
	oerlikon   = "zrh-oerlikon"
	altstetten = "zrh-altstetten"
	renens     = "lsn-renens"
)

// sixHosts has the layout of the current deployments: two hosts in each of three
// failure domains, two of which are in the same region.
var sixHosts = []hostSpec{
	{id: "oer-1", domain: oerlikon, region: "zrh"}, {id: "oer-2", domain: oerlikon, region: "zrh"},
	{id: "alt-1", domain: altstetten, region: "zrh"}, {id: "alt-2", domain: altstetten, region: "zrh"},
	{id: "ren-1", domain: renens, region: "lsn"}, {id: "ren-2", domain: renens, region: "lsn"},
}

// threeHosts is the smallest deployment in which the log of one failure domain
// has all its replicas: both hosts of zrh-oerlikon and one host outside.
var threeHosts = []hostSpec{
	{id: "oer-1", domain: oerlikon, region: "zrh"}, {id: "oer-2", domain: oerlikon, region: "zrh"},
	{id: "alt-1", domain: altstetten, region: "zrh"},
}

// cluster is a deployment of daemons that run as separate processes. Each
// ordered pair of hosts has its own relay, so that a link can be cut in one
// direction.
type cluster struct {
	// dir holds the data directories. It is removed after the processes have ended: clean-ups
	// run in the reverse order of their registration.
	dir string
	// hosts are the hosts in use. all also includes hosts that a spec no longer
	// uses.
	hosts  []*process
	all    []*process
	links  map[string]*standin.Link
	relays map[string]*standin.Relay
	client *fasthttp.Client
	flags  []string
	// kills holds for each executor a function that kills it at most once.
	kills map[*standin.Executor]func()
}

// shortBalancerWait is the --balancer-wait of specs that stop no host under load.
const shortBalancerWait = 200 * time.Millisecond

func newCluster(hostSpecs []hostSpec) *cluster { return newClusterWith(hostSpecs, shortBalancerWait) }

// newClusterWith starts a deployment with the given --balancer-wait and
// additional daemon flags.
func newClusterWith(hostSpecs []hostSpec, wait time.Duration, flags ...string) *cluster {
	c := &cluster{
		dir:    GinkgoT().TempDir(),
		links:  map[string]*standin.Link{},
		relays: map[string]*standin.Relay{},
		client: &fasthttp.Client{ReadTimeout: clientTimeout, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 2048},
		kills:  map[*standin.Executor]func(){},
		flags:  append(flags, "--balancer-wait="+wait.String(), "--stop-timeout=20s"),
	}
	for _, p := range hostSpecs {
		c.add(p)
	}
	wakeups := watchWakeups()
	DeferCleanup(func() { c.close(wakeups.finish()) })
	for _, p := range c.hosts {
		c.configure(p)
		if !p.diskless {
			p.args = append(p.args, "--bootstrap")
		}
		p.start()
	}
	return c
}

const clientTimeout = 30 * time.Second

// add assigns addresses and a data directory to a new host without starting it.
func (c *cluster) add(spec hostSpec) *process {
	p := &process{hostSpec: spec, http: freeAddress(), peer: freeAddress(), log: &bytes.Buffer{}}
	if !spec.diskless {
		var err error
		p.data, err = os.MkdirTemp(c.dir, p.id+"-")
		Expect(err).NotTo(HaveOccurred())
	}
	c.hosts = append(c.hosts, p)
	c.all = append(c.all, p)
	return p
}

// configure sets the daemon flags of a host, with all hosts currently in use as
// peers.
func (c *cluster) configure(p *process) {
	p.args = append([]string{"--host-id=" + p.id, "--failure-domain=" + p.domain, "--region=" + p.region,
		"--http-listen=" + p.http, "--http-advertise=" + p.http, "--peer-listen=" + p.peer}, c.flags...)
	if !p.diskless {
		p.args = append(p.args, "--data-dir="+p.data)
	}
	for _, other := range c.hosts {
		if other == p {
			continue
		}
		entry := fmt.Sprintf("--peer=%s=%s/%s@%s", other.id, other.domain, other.region, c.relay(p, other))
		if !other.diskless {
			entry += ",disk"
		}
		p.args = append(p.args, entry)
	}
}

// relay returns the address of the relay through which one host reaches another,
// and starts the relay on first use.
func (c *cluster) relay(from, to *process) string {
	name := from.id + ">" + to.id
	if r := c.relays[name]; r != nil {
		return r.Address()
	}
	c.links[name] = standin.NewLink(0, 0)
	r, err := standin.NewRelay(to.peer, c.links[name])
	Expect(err).NotTo(HaveOccurred())
	c.relays[name] = r
	return r.Address()
}

func (c *cluster) host(id string) *process {
	i := slices.IndexFunc(c.all, func(p *process) bool { return p.id == id })
	Expect(i).To(BeNumerically(">=", 0), "no host "+id)
	return c.all[i]
}

// others returns all hosts in use except the given ones.
func (c *cluster) others(excluded ...*process) []*process {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(p *process) bool { return slices.Contains(excluded, p) })
}

// inDomain returns the hosts of a failure domain.
func (c *cluster) inDomain(name string) []*process {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(p *process) bool { return p.domain != name })
}

// setCut holds or releases all traffic between the given hosts and all others,
// in both directions.
func (c *cluster) setCut(on bool, inside ...*process) {
	c.setCutOutbound(on, inside...)
	c.setCutInbound(on, inside...)
}

// setCutOutbound holds or releases the connections that the given hosts open to
// the others, so that nothing that they send on these connections arrives.
func (c *cluster) setCutOutbound(on bool, inside ...*process) {
	for _, a := range inside {
		for _, b := range c.others(inside...) {
			c.links[a.id+">"+b.id].SetCut(on)
		}
	}
}

// setCutInbound holds or releases the connections that the others open to the
// given hosts, so that the given hosts receive nothing on these connections.
func (c *cluster) setCutInbound(on bool, inside ...*process) {
	for _, a := range c.others(inside...) {
		for _, b := range inside {
			c.links[a.id+">"+b.id].SetCut(on)
		}
	}
}

// close stops the hosts. If the spec failed, it reports their logs and the delays of the
// links.
func (c *cluster) close(delays string) {
	var violations []string
	for _, p := range c.all {
		if p.cmd == nil {
			continue
		}
		if violation := p.checkData(); violation != "" {
			violations = append(violations, violation)
		}
		if violation := p.terminate(); violation != "" {
			violations = append(violations, violation)
		}
	}
	if CurrentSpecReport().Failed() || len(violations) > 0 {
		AddReportEntry("delays", delays, ReportEntryVisibilityFailureOrVerbose)
		for _, p := range c.all {
			AddReportEntry("log of "+p.id, p.log.String(), ReportEntryVisibilityFailureOrVerbose)
		}
	}
	for _, r := range c.relays {
		r.Close()
	}
	Expect(violations).To(BeEmpty())
}
