package control

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/daemon/httpapi"
	"cranberrydrum.dev/daemon/loopback"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/scheduler/configstate"
)

// host is one host of a cluster. It runs in this process.
type host struct {
	id, domain, address string
	node                *node.Node
	server              *httpapi.Server
}

// cluster is a deployment of hosts in this process on loopback addresses.
type cluster struct {
	dir     string
	domains []string
	hosts   []*host
	version uint64
}

const (
	maxDomains   = 4
	startTimeout = 15 * time.Second
	applyTimeout = 5 * time.Second
	pollInterval = time.Millisecond
	closeTimeout = 5 * time.Second
)

// newCluster starts hosts without rules. It has up to maxDomains failure domains,
// each with two or more hosts if there are enough.
func newCluster(hosts int) (*cluster, error) {
	dir, err := os.MkdirTemp("", "cranberrydrum-bench-")
	if err != nil {
		return nil, &SetupError{Step: "temporary directory", Cause: err}
	}
	c := &cluster{dir: dir}
	for i := range min(maxDomains, max(1, hosts/2)) {
		c.domains = append(c.domains, "d"+strconv.Itoa(i+1))
	}
	if err := c.start(hosts); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(count int) error {
	if err := c.addHosts(count); err != nil {
		return err
	}
	for _, h := range c.hosts {
		if err := c.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

// addHosts assigns IDs, failure domains and peer addresses to the hosts.
func (c *cluster) addHosts(count int) error {
	for i := range count {
		address, err := loopback.FreeAddress()
		if err != nil {
			return &SetupError{Step: "address of a host", Cause: err}
		}
		d := c.domains[i%len(c.domains)]
		c.hosts = append(c.hosts, &host{id: d + "-" + strconv.Itoa(i+1), domain: d, address: address})
	}
	return nil
}

func (c *cluster) startHost(h *host) error {
	cfg, err := settings.Parse(c.arguments(h), nil)
	if err != nil {
		return err
	}
	if h.node, err = node.New(*cfg, logr.Discard()); err != nil {
		return err
	}
	if h.server, err = httpapi.New(h.node, logr.Discard()); err != nil {
		return err
	}
	if err := h.node.Start(); err != nil {
		return err
	}
	go func() { _ = h.server.Serve() }()
	return nil
}

func (c *cluster) arguments(h *host) []string {
	args := []string{
		"--host-id=" + h.id,
		"--failure-domain=" + h.domain,
		"--region=r",
		"--http-listen=127.0.0.1:0",
		"--peer-listen=" + h.address,
		"--data-dir=" + filepath.Join(c.dir, h.id),
		"--bootstrap",
		"--balancer-wait=0s",
	}
	for _, other := range c.hosts {
		if other != h {
			args = append(args, "--peer="+other.id+"="+other.domain+"/r@"+other.address+",disk")
		}
	}
	return args
}

// applyRules changes the rules and returns the time until they were accepted, and
// the time from then until they were in force on all hosts.
func (c *cluster) applyRules(racks, customers int) (accepted, inForce time.Duration, err error) {
	text := rulesText(c.domains, racks, accelerators, customers)
	text += "# change " + strconv.FormatUint(c.version, 10) + "\n"
	id := "bench-" + strconv.FormatUint(c.version, 10)
	command := configstate.Command{BaseVersion: c.version, Text: []byte(text), Author: "bench", RequestID: id}
	start := time.Now()
	result, err := c.proposeRules(command)
	if err != nil {
		return 0, 0, err
	}
	if result.Refusal != nil {
		return 0, 0, result.Refusal
	}
	accepted = time.Since(start)
	c.version = result.Version
	if !pollUntil(startTimeout, c.inForce) {
		return 0, 0, StateError("the rules were not in force on all hosts within the start timeout")
	}
	return accepted, time.Since(start) - accepted, nil
}

// proposeRules retries a change until the first leader has been elected.
func (c *cluster) proposeRules(command configstate.Command) (*configstate.Result, error) {
	deadline := time.Now().Add(startTimeout)
	for {
		result, err := c.hosts[0].node.ApplyRules(command, applyTimeout)
		if err == nil || time.Now().After(deadline) {
			return result, err
		}
		time.Sleep(pollInterval)
	}
}

// inForce reports whether all hosts use the accepted version of the rules.
func (c *cluster) inForce() bool {
	return !slices.ContainsFunc(c.hosts, func(h *host) bool {
		_, v := h.node.Config()
		return v < c.version
	})
}

// pollUntil polls a condition until it holds or the bound has passed.
func pollUntil(bound time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(pollInterval)
	}
	return true
}

// sentBytes returns the bytes that all hosts have sent to each other, by kind of
// frame.
func (c *cluster) sentBytes() (map[string]float64, error) {
	bytes := map[string]float64{}
	for _, h := range c.hosts {
		families, err := h.node.Metrics().Registry.Gather()
		if err != nil {
			return nil, &SetupError{Step: "metrics", Cause: err}
		}
		for _, f := range families {
			if f.GetName() != "cranberrydrum_peer_bytes_total" {
				continue
			}
			for _, m := range f.GetMetric() {
				labels := map[string]string{}
				for _, l := range m.GetLabel() {
					labels[l.GetName()] = l.GetValue()
				}
				if labels["direction"] == "sent" {
					bytes[labels["kind"]] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return bytes, nil
}

// hostURLs returns the base URLs of the hosts of a failure domain.
func (c *cluster) hostURLs(domain string) []string {
	var urls []string
	for _, h := range c.hosts {
		if h.domain == domain {
			urls = append(urls, "http://"+h.server.Address())
		}
	}
	return urls
}

func (c *cluster) close() {
	bound, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, h := range c.hosts {
		if h.server != nil {
			h.server.Shutdown(bound)
		}
		if h.node != nil {
			h.node.Close()
		}
	}
	_ = os.RemoveAll(c.dir)
}
