package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
)

// place is one host of the test deployment.
type place struct{ id, domain, region string }

// sixHosts has the shape of today's deployments: two hosts in each of three
// failure domains, two of them in one region.
var sixHosts = []place{
	{"oer-1", "zrh-oerlikon", "zrh"}, {"oer-2", "zrh-oerlikon", "zrh"},
	{"alt-1", "zrh-altstetten", "zrh"}, {"alt-2", "zrh-altstetten", "zrh"},
	{"ren-1", "lsn-renens", "lsn"}, {"ren-2", "lsn-renens", "lsn"},
}

const operatorToken = "example-operator-token"

// process is one running daemon.
type process struct {
	place
	http, peer, data string
	args             []string
	cmd              *exec.Cmd
	log              *bytes.Buffer
	exited           chan struct{}
}

// cluster is a deployment of daemons as separate processes. Each ordered pair
// of hosts has a relay of its own, so that links can be cut one way.
type cluster struct {
	hosts  []*process
	links  map[string]*standin.Link
	relays []*standin.Relay
	client *fasthttp.Client
	mu     sync.Mutex
}

func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func newCluster(places []place) *cluster {
	c := &cluster{links: map[string]*standin.Link{}, client: &fasthttp.Client{ReadTimeout: 30 * time.Second, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 2048}}
	for _, p := range places {
		c.hosts = append(c.hosts, &process{place: p, http: freePort(), peer: freePort(), data: GinkgoT().TempDir()})
	}
	DeferCleanup(c.close)
	for _, p := range c.hosts {
		c.configure(p)
		c.start(p)
	}
	return c
}

func (c *cluster) configure(p *process) {
	p.args = []string{"--host-id=" + p.id, "--failure-domain=" + p.domain, "--region=" + p.region,
		"--http-listen=" + p.http, "--peer-listen=" + p.peer, "--data-dir=" + p.data, "--bootstrap",
		"--balancer-wait=200ms", "--stop-timeout=20s"}
	for _, other := range c.hosts {
		if other != p {
			p.args = append(p.args, fmt.Sprintf("--peer=%s=%s/%s@%s,disk", other.id, other.domain, other.region, c.relay(p, other)))
		}
	}
}

func (c *cluster) relay(from, to *process) string {
	link := standin.NewLink(0, 0)
	c.links[from.id+">"+to.id] = link
	r, err := standin.NewRelay(to.peer, link)
	Expect(err).NotTo(HaveOccurred())
	c.relays = append(c.relays, r)
	return r.Address()
}

func (c *cluster) start(p *process) {
	p.log = &bytes.Buffer{}
	p.cmd = exec.Command(daemonBinary, p.args...)
	p.cmd.Stderr = p.log
	p.exited = make(chan struct{})
	Expect(p.cmd.Start()).To(Succeed())
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

func (c *cluster) signal(p *process, s syscall.Signal) {
	Expect(p.cmd.Process.Signal(s)).To(Succeed())
}

func (c *cluster) kill(p *process) {
	c.signal(p, syscall.SIGKILL)
	Eventually(p.exited, "5s").Should(BeClosed())
}

// stop ends a daemon gracefully.
func (c *cluster) stop(p *process) {
	c.signal(p, syscall.SIGTERM)
	Eventually(p.exited, "25s").Should(BeClosed())
}

func (c *cluster) host(id string) *process {
	for _, p := range c.hosts {
		if p.id == id {
			return p
		}
	}
	Fail("no host " + id)
	return nil
}

// cut holds or releases all links between two sets of hosts, both ways.
func (c *cluster) cut(on bool, inside func(*process) bool) {
	for _, a := range c.hosts {
		for _, b := range c.hosts {
			if a != b && inside(a) != inside(b) {
				c.links[a.id+">"+b.id].SetCut(on)
			}
		}
	}
}

func inDomain(name string) func(*process) bool {
	return func(p *process) bool { return p.domain == name }
}

func (c *cluster) close() {
	for _, p := range c.hosts {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		if CurrentSpecReport().Failed() {
			AddReportEntry("log of "+p.id, p.log.String(), ReportEntryVisibilityFailureOrVerbose)
		}
	}
	for _, r := range c.relays {
		r.Close()
	}
}

// answer is what an HTTP call returned.
type answer struct {
	status  int
	refusal string
	body    []byte
}

func (c *cluster) do(p *process, method, path, token string, headers map[string]string, body []byte) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.http + path)
	req.Header.SetMethod(method)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	req.SetBody(body)
	if err := c.client.DoTimeout(req, resp, 30*time.Second); err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode(), refusal: string(resp.Header.Peek(api.HeaderRefusal)), body: append([]byte(nil), resp.Body()...)}, nil
}

func (c *cluster) applyRules(p *process, base uint64, text, author string) (answer, error) {
	body, err := json.Marshal(api.RulesApplyRequest{BaseVersion: base, Text: text, Author: author, RequestID: fmt.Sprint(author, base)})
	Expect(err).NotTo(HaveOccurred())
	return c.do(p, "POST", api.PathRules, operatorToken, nil, body)
}

// version returns the configuration version in force on a host.
func (c *cluster) version(p *process) uint64 {
	a, err := c.do(p, "GET", api.PathRules, operatorToken, nil, nil)
	if err != nil || a.status != 200 {
		return 0
	}
	var r api.RulesResponse
	Expect(json.Unmarshal(a.body, &r)).To(Succeed())
	return r.Version
}

// begin applies the first rules and waits until they are in force everywhere.
func (c *cluster) begin(text string) {
	Eventually(func() string {
		a, err := c.applyRules(c.hosts[0], 0, text, "ops")
		if err != nil {
			return err.Error()
		}
		return fmt.Sprint(a.status, " ", string(a.body))
	}, "15s", "100ms").Should(HavePrefix("200"))
	c.awaitVersion(1, "5s")
}

func (c *cluster) awaitVersion(v uint64, bound string) {
	for _, p := range c.hosts {
		Eventually(func() uint64 { return c.version(p) }, bound, "20ms").Should(Equal(v), "host "+p.id)
	}
}

func (c *cluster) executors(perDomain int) []*standin.Executor {
	var list []*standin.Executor
	for _, domain := range []string{"zrh-oerlikon", "zrh-altstetten", "lsn-renens"} {
		for i := range perDomain {
			list = append(list, c.executor(domain, i))
		}
	}
	return list
}

func (c *cluster) executor(domain string, i int) *standin.Executor {
	e, err := standin.NewExecutor(standin.ExecutorConfig{
		ID: fmt.Sprintf("%s-x%d", domain, i), Service: "basket-planner", Domain: domain,
		Hosts: c.urls(domain), Slots: 8, Connections: 64, ServiceTime: 5 * time.Millisecond, Seed: uint64(i),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Kill)
	return e
}

func (c *cluster) urls(domain string) []string {
	var urls []string
	for _, p := range c.hosts {
		if p.domain == domain {
			urls = append(urls, "http://"+p.http)
		}
	}
	return urls
}

func (c *cluster) request(p *process, body string, headers map[string]string) (answer, error) {
	all := map[string]string{api.HeaderCustomer: "migros"}
	for k, v := range headers {
		all[k] = v
	}
	return c.do(p, "POST", api.RequestsPath("basket-planner"), "", all, []byte(body))
}

// awaitServing waits until a host answers requests.
func (c *cluster) awaitServing(p *process) {
	Eventually(func() string {
		a, err := c.request(p, "ping", nil)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprint(a.status, " ", string(a.body))
	}, "10s", "50ms").Should(Equal("200 ping"), "host "+p.id)
}

var daemonBinary string

var _ = SynchronizedBeforeSuite(func() []byte {
	path, err := gexec.Build("cranberrydrum.dev/cmd/cranberrydrumd")
	Expect(err).NotTo(HaveOccurred())
	return []byte(path)
}, func(path []byte) { daemonBinary = string(path) })

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)

func baseRules() string {
	text, err := os.ReadFile(filepath.Join("testdata", "base.rules"))
	Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(string(text)) + "\n"
}
