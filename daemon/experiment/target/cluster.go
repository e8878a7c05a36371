package target

import (
	"bytes"
	"cmp"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/loopback"
	"cranberrydrum.dev/daemon/standin"
)

// Links between hosts at the target size: one-way latencies, and the capacity of
// the link between the regions, which is 30 Mbit/s in bytes.
const (
	domainLatency        = 1500 * time.Microsecond
	regionLatency        = 30 * time.Millisecond
	regionBytesPerSecond = 30 * 1_000_000 / 8
	startTimeout         = 20 * time.Second
	pollInterval         = 10 * time.Millisecond
)

// cluster is a deployment with one process per host and simulated links.
type cluster struct {
	size   size
	daemon string
	dir    string
	logDir string
	hosts  []*host
	// links are the links within a region by the failure domains at their ends.
	links  map[[2]string]*standin.Link
	relays []*standin.Relay
	// region is the link between the two regions.
	region *standin.Link
	// version is the accepted version of the rules, after a number of edits.
	version uint64
	edits   int
}

// newCluster starts the hosts, without rules. Their logs are in logDir or, if it is empty,
// in the temporary directory of the deployment.
func newCluster(daemon, logDir string, s size) (*cluster, error) {
	dir, err := os.MkdirTemp("", "cranberrydrum-target-")
	if err != nil {
		return nil, &SetupError{Step: "temporary directory", Cause: err}
	}
	c := &cluster{size: s, daemon: daemon, dir: dir, logDir: cmp.Or(logDir, dir), links: map[[2]string]*standin.Link{}}
	c.region = standin.NewLink(regionLatency, regionBytesPerSecond)
	if err := c.start(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start() error {
	for i := range c.size.hosts {
		if err := c.addHost(i); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		if err := c.configure(h); err != nil {
			return err
		}
	}
	for _, h := range c.hosts {
		if err := h.start(c.daemon, c.logDir); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) addHost(i int) error {
	httpAddress, err := loopback.FreeAddress()
	if err != nil {
		return &SetupError{Step: "address of a host", Cause: err}
	}
	peer, err := loopback.FreeAddress()
	if err != nil {
		return &SetupError{Step: "address of a host", Cause: err}
	}
	d := i % c.size.domains
	h := &host{id: domainName(d) + "-" + strconv.Itoa(i+1), domain: domainName(d), region: regionName(d, c.size.domains), http: httpAddress, peer: peer}
	h.client, err = api.NewClient(api.ClientConfig{Servers: []string{httpAddress}, Token: operatorToken})
	c.hosts = append(c.hosts, h)
	return err
}

// configure sets the arguments of a host. It reaches each peer through a relay.
func (c *cluster) configure(h *host) error {
	h.args = []string{
		"--host-id=" + h.id, "--failure-domain=" + h.domain, "--region=" + h.region,
		"--http-listen=" + h.http, "--http-advertise=" + h.http, "--peer-listen=" + h.peer,
		"--data-dir=" + filepath.Join(c.dir, h.id), "--bootstrap", "--balancer-wait=0s",
	}
	for _, other := range c.hosts {
		if other == h {
			continue
		}
		relay, err := standin.NewRelay(other.peer, c.link(h, other))
		if err != nil {
			return err
		}
		c.relays = append(c.relays, relay)
		h.args = append(h.args, "--peer="+other.id+"="+other.domain+"/"+other.region+"@"+relay.Address()+",disk")
	}
	return nil
}

// link returns the link from one host to another. All traffic between the
// regions shares one link.
func (c *cluster) link(from, to *host) *standin.Link {
	switch {
	case from.region == "r1" && to.region == "r2":
		return c.region
	case from.region == "r2" && to.region == "r1":
		return c.region.Reversed()
	}
	key := [2]string{from.domain, to.domain}
	if c.links[key] == nil {
		latency := domainLatency
		if from.domain == to.domain {
			latency = 0
		}
		c.links[key] = standin.NewLink(latency, 0)
	}
	return c.links[key]
}

// pollUntil polls a condition until it holds or the limit has passed.
func pollUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

// inDomain returns the running hosts of a failure domain.
func (c *cluster) inDomain(domain string) []*host {
	var found []*host
	for _, h := range c.hosts {
		if h.domain == domain && h.cmd != nil {
			found = append(found, h)
		}
	}
	return found
}

// leader returns the host that leads the log of a failure domain, or nil if no
// running host of the domain knows a leader.
func (c *cluster) leader(domain string) *host {
	for _, via := range c.inDomain(domain) {
		status, err := via.client.Status(false)
		if err != nil {
			continue
		}
		for _, g := range status.Groups {
			if g.Group != "domain/"+domain {
				continue
			}
			for _, h := range c.hosts {
				if h.id == g.Leader {
					return h
				}
			}
		}
	}
	return nil
}

// takeovers counts the log lines of all hosts that report a new owner of a failure
// domain.
func (c *cluster) takeovers() int {
	sum := 0
	for _, h := range c.hosts {
		log, err := os.ReadFile(filepath.Join(c.logDir, h.id+".log"))
		if err == nil {
			sum += bytes.Count(log, []byte("this host owns the failure domain"))
		}
	}
	return sum
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	for _, r := range c.relays {
		r.Close()
	}
	_ = os.RemoveAll(c.dir)
}
