// Package demo runs a whole deployment in one process on loopback addresses, with
// stand-in executors and workers. It partitions a failure domain from the others
// under load and checks the invariants P2 to P6 and P8 of docs/design.md.
package demo

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"cranberrydrum.dev/daemon/httpapi"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/daemon/settings"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

const hostsPerDomain = 2

// SetupError reports a step of the demo's setup that failed.
type SetupError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *SetupError) Error() string { return "demo: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Cause }

// demoHost is a host of the deployment.
type demoHost struct {
	id, domain, region string
	peerAddress        string
	node               *node.Node
	server             *httpapi.Server
}

func (h *demoHost) url() string { return "http://" + h.server.Address() }

// deployment holds the hosts, the relays between them, and the stand-in executors
// and workers.
type deployment struct {
	profile   profile
	cfg       *structs.Config
	dataDir   string
	hosts     []*demoHost
	links     map[[2]string]*standin.Link
	relays    []*standin.Relay
	executors []*standin.Executor
	workers   []*standin.Worker
	tasks     *standin.TaskLog
}

// newDeployment starts the hosts. On an error it stops those already started.
func newDeployment(p profile, cfg *structs.Config) (*deployment, error) {
	dataDir, err := os.MkdirTemp("", "cranberrydrum-demo-")
	if err != nil {
		return nil, &SetupError{Step: "temporary directory", Cause: err}
	}
	d := &deployment{profile: p, cfg: cfg, dataDir: dataDir, links: map[[2]string]*standin.Link{}, tasks: standin.NewTaskLog()}
	if err := d.reserveHosts(); err != nil {
		d.close()
		return nil, err
	}
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) reserveHosts() error {
	for _, domain := range d.cfg.Domains {
		for i := range hostsPerDomain {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			id := domain.Name + "-" + strconv.Itoa(i+1)
			d.hosts = append(d.hosts, &demoHost{id: id, domain: domain.Name, region: domain.Region, peerAddress: address})
		}
	}
	return nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &SetupError{Step: "free port", Cause: err}
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (d *deployment) startHost(h *demoHost) error {
	cfg, err := d.hostSettings(h)
	if err != nil {
		return err
	}
	h.node, err = node.New(*cfg, logr.Discard())
	if err != nil {
		return err
	}
	h.server, err = httpapi.New(h.node, logr.Discard())
	if err != nil {
		return err
	}
	if err := h.node.Start(); err != nil {
		return err
	}
	go func() { _ = h.server.Serve() }()
	return nil
}

func (d *deployment) hostSettings(h *demoHost) (*settings.Settings, error) {
	args := []string{
		"--host-id=" + h.id,
		"--failure-domain=" + h.domain,
		"--region=" + h.region,
		"--http-listen=127.0.0.1:0",
		"--peer-listen=" + h.peerAddress,
		"--data-dir=" + filepath.Join(d.dataDir, h.id),
		"--bootstrap",
		"--balancer-wait=0s",
	}
	for _, other := range d.hosts {
		if other == h {
			continue
		}
		address, err := d.addRelay(h, other)
		if err != nil {
			return nil, err
		}
		args = append(args, "--peer="+other.id+"="+other.domain+"/"+other.region+"@"+address+",disk")
	}
	return settings.Parse(args, nil)
}

// addRelay starts a relay from one host to another, with the latency and bandwidth
// of the link between them, and returns its address.
func (d *deployment) addRelay(from, to *demoHost) (string, error) {
	link := d.linkBetween(from, to)
	relay, err := standin.NewRelay(to.peerAddress, link)
	if err != nil {
		return "", err
	}
	d.relays = append(d.relays, relay)
	return relay.Address(), nil
}

// linkBetween returns the link between the failure domains of two hosts, in the
// direction from the first. All relays between the two failure domains share the
// link in both directions.
func (d *deployment) linkBetween(from, to *demoHost) *standin.Link {
	key := [2]string{from.domain, to.domain}
	if link := d.links[key]; link != nil {
		return link
	}
	if link := d.links[[2]string{to.domain, from.domain}]; link != nil {
		return link.Reversed()
	}
	link := standin.NewLink(0, 0)
	switch {
	case from.region != to.region:
		link = standin.NewLink(d.profile.regionLatency, d.profile.regionBytesPerSecond)
	case from.domain != to.domain:
		link = standin.NewLink(d.profile.domainLatency, 0)
	}
	d.links[key] = link
	return link
}

// setCut cuts or restores all links between a failure domain and the others.
func (d *deployment) setCut(domain string, isCut bool) {
	for key, link := range d.links {
		if key[0] != key[1] && (key[0] == domain || key[1] == domain) {
			link.SetCut(isCut)
		}
	}
}

// regionBytes returns the number of bytes sent over links between regions.
func (d *deployment) regionBytes() int64 {
	region := map[string]string{}
	for _, domain := range d.cfg.Domains {
		region[domain.Name] = domain.Region
	}
	total := int64(0)
	for key, link := range d.links {
		if region[key[0]] != region[key[1]] {
			total += link.Bytes()
		}
	}
	return total
}

// urls returns the URLs of the entry hosts of a failure domain. The host at index
// first, modulo their number, comes first.
func (d *deployment) urls(domain string, first int) []string {
	var urls []string
	for _, h := range d.hosts {
		if h.domain == domain {
			urls = append(urls, h.url())
		}
	}
	first %= len(urls)
	return append(urls[first:], urls[:first]...)
}

// startStandins starts the stand-in executors and workers of all failure domains.
func (d *deployment) startStandins() error {
	for i := range d.profile.executors {
		domain := d.cfg.Domains[i%len(d.cfg.Domains)].Name
		executor, err := standin.NewExecutor(standin.ExecutorConfig{
			ID:          domain + "-executor-" + strconv.Itoa(i),
			Service:     d.profile.service,
			Domain:      domain,
			Hosts:       d.urls(domain, i),
			Token:       d.profile.token("backend"),
			Slots:       8,
			Connections: 64,
			ServiceTime: 20 * time.Millisecond,
			Seed:        uint64(i),
		})
		if err != nil {
			return err
		}
		d.executors = append(d.executors, executor)
	}
	for i := range d.profile.workers {
		d.startWorker(i)
	}
	return nil
}

func (d *deployment) startWorker(i int) {
	domain := d.cfg.Domains[i%len(d.cfg.Domains)].Name
	position := i / len(d.cfg.Domains)
	d.workers = append(d.workers, standin.NewWorker(standin.WorkerConfig{
		Worker: structs.Worker{
			ID:           domain + "-worker-" + strconv.Itoa(position),
			Domain:       domain,
			Rack:         "rack-" + strconv.Itoa(position/8),
			Accelerators: 8,
			Cores:        64,
			MemoryMB:     d.profile.workerMemoryMB,
		},
		Hosts:          d.urls(domain, i),
		Token:          d.profile.token("worker"),
		RenewInterval:  500 * time.Millisecond,
		TaskTime:       time.Second,
		CheckpointTime: 100 * time.Millisecond,
		Log:            d.tasks,
	}))
}

const closeTimeout = 5 * time.Second

func (d *deployment) close() {
	for _, w := range d.workers {
		w.Kill()
	}
	for _, e := range d.executors {
		e.Kill()
	}
	bound, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, h := range d.hosts {
		if h.server != nil {
			h.server.Shutdown(bound)
		}
		if h.node != nil {
			h.node.Close()
		}
	}
	for _, r := range d.relays {
		r.Close()
	}
	_ = os.RemoveAll(d.dataDir)
}
