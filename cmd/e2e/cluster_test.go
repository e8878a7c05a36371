package e2e_test

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/standin"
)

// Failure domains of the rules in testdata.
const (
	oerlikon   = "zrh-oerlikon"
	altstetten = "zrh-altstetten"
	renens     = "lsn-renens"
)

// sixHosts has the shape of today's deployments: two hosts in each of three
// failure domains, two of them in one region.
var sixHosts = []place{
	{id: "oer-1", domain: oerlikon, region: "zrh"}, {id: "oer-2", domain: oerlikon, region: "zrh"},
	{id: "alt-1", domain: altstetten, region: "zrh"}, {id: "alt-2", domain: altstetten, region: "zrh"},
	{id: "ren-1", domain: renens, region: "lsn"}, {id: "ren-2", domain: renens, region: "lsn"},
}

// threeHosts is the smallest deployment with a full log of one failure domain:
// both hosts of zrh-oerlikon and one outside.
var threeHosts = []place{
	{id: "oer-1", domain: oerlikon, region: "zrh"}, {id: "oer-2", domain: oerlikon, region: "zrh"},
	{id: "alt-1", domain: altstetten, region: "zrh"},
}

// cluster is a deployment of daemons as separate processes. Each ordered pair
// of hosts has a relay of its own, so that links can be cut one way.
type cluster struct {
	// hosts are in use; all also has those that a spec has given up.
	hosts  []*process
	all    []*process
	links  map[string]*standin.Link
	relays map[string]*standin.Relay
	client *fasthttp.Client
	flags  []string
	// kills ends each executor once.
	kills map[*standin.Executor]func()
}

// shortWait is the balancer wait of specs that stop no host under load.
const shortWait = 200 * time.Millisecond

func newCluster(places []place) *cluster { return newClusterWith(places, shortWait) }

// newClusterWith starts a deployment with a balancer wait and flags of its own.
func newClusterWith(places []place, wait time.Duration, flags ...string) *cluster {
	c := &cluster{
		links:  map[string]*standin.Link{},
		relays: map[string]*standin.Relay{},
		client: &fasthttp.Client{ReadTimeout: clientTimeout, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 2048},
		kills:  map[*standin.Executor]func(){},
		flags:  append(flags, "--balancer-wait="+wait.String(), "--stop-timeout=20s"),
	}
	for _, p := range places {
		c.add(p)
	}
	DeferCleanup(c.close)
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

// add gives a host its addresses and its folder; it is not started.
func (c *cluster) add(at place) *process {
	p := &process{place: at, http: freeAddress(), peer: freeAddress(), log: &bytes.Buffer{}}
	if !at.diskless {
		p.data = GinkgoT().TempDir()
	}
	c.hosts = append(c.hosts, p)
	c.all = append(c.all, p)
	return p
}

// configure sets the flags of a host for the hosts that are known now.
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

// relay returns the address at which a host reaches another.
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

// others returns all hosts but the given ones.
func (c *cluster) others(without ...*process) []*process {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(p *process) bool { return slices.Contains(without, p) })
}

// inDomain returns the hosts of a failure domain.
func (c *cluster) inDomain(name string) []*process {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(p *process) bool { return p.domain != name })
}

// cut holds or releases all links between two sets of hosts, both ways.
func (c *cluster) cut(on bool, inside ...*process) {
	c.cutFrom(on, inside...)
	c.cutTo(on, inside...)
}

// cutFrom holds or releases what the given hosts send on their connections to the others.
func (c *cluster) cutFrom(on bool, inside ...*process) {
	for _, a := range inside {
		for _, b := range c.others(inside...) {
			c.links[a.id+">"+b.id].SetCut(on)
		}
	}
}

// cutTo holds or releases what the given hosts receive on connections of the others.
func (c *cluster) cutTo(on bool, inside ...*process) {
	for _, a := range c.others(inside...) {
		for _, b := range inside {
			c.links[a.id+">"+b.id].SetCut(on)
		}
	}
}

func (c *cluster) close() {
	var faults []string
	for _, p := range c.all {
		if p.cmd == nil {
			continue
		}
		if fault := p.end(); fault != "" {
			faults = append(faults, fault)
		}
	}
	for _, p := range c.all {
		if CurrentSpecReport().Failed() || len(faults) > 0 {
			AddReportEntry("log of "+p.id, p.log.String(), ReportEntryVisibilityFailureOrVerbose)
		}
	}
	for _, r := range c.relays {
		r.Close()
	}
	Expect(faults).To(BeEmpty())
}
