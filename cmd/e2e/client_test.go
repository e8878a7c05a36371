package e2e_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	operatorToken = "example-operator-token"
	backendToken  = "example-backend-token"
	workerToken   = "example-worker-token"
	service       = "basket-planner"
	customer      = "migros"
)

// answer is what an HTTP call returned.
type answer struct {
	status  int
	refusal string
	body    []byte
}

// outcome returns the outcome that a refusal states.
func (a answer) outcome() structs.Outcome {
	var body api.RefusalBody
	if err := json.Unmarshal(a.body, &body); err != nil {
		return structs.OutcomeUnknown
	}
	return body.Outcome
}

// String shows an answer in a failure message.
func (a answer) String() string { return fmt.Sprint(a.status, " ", string(a.body)) }

func (c *cluster) do(p *process, method, path, token string, headers map[string]string, body []byte) (answer, error) {
	return c.doWithin(clientTimeout, p, method, path, token, headers, body)
}

func (c *cluster) doWithin(bound time.Duration, p *process, method, path, token string, headers map[string]string, body []byte) (answer, error) {
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
	if err := c.client.DoTimeout(req, resp, bound); err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode(), refusal: string(resp.Header.Peek(api.HeaderRefusal)), body: append([]byte(nil), resp.Body()...)}, nil
}

// get reads a JSON value from a host and reports whether the host answered.
func (c *cluster) get(p *process, path string, value any) bool {
	a, err := c.doWithin(time.Second, p, "GET", path, operatorToken, nil, nil)
	if err != nil || a.status != fasthttp.StatusOK {
		return false
	}
	return json.Unmarshal(a.body, value) == nil
}

func (c *cluster) ready(p *process) bool {
	a, err := c.doWithin(time.Second, p, "GET", api.PathReady, "", nil, nil)
	return err == nil && a.status == fasthttp.StatusOK
}

func (c *cluster) awaitReady(p *process) {
	Eventually(func() bool { return c.ready(p) }, "10s", "20ms").Should(BeTrue(), "host "+p.id)
}

// leader returns the host that leads a log, or nil if none of the given hosts
// is known to lead it.
func (c *cluster) leader(group string, among ...*process) *process {
	var found *process
	term := uint64(0)
	for _, p := range among {
		var members api.MembersResponse
		if !c.get(p, api.PathMembers, &members) {
			continue
		}
		for _, g := range members.Groups {
			if g.Group == group && g.Leader != "" && g.Term > term {
				found, term = c.host(g.Leader), g.Term
			}
		}
	}
	return found
}

// owner waits until one of the given hosts, or of all, leads a failure domain.
func (c *cluster) owner(domain string, among ...*process) *process {
	if len(among) == 0 {
		among = c.hosts
	}
	var found *process
	Eventually(func() *process {
		found = c.leader("domain/"+domain, among...)
		return found
	}, "10s", "50ms").ShouldNot(BeNil(), "owner of "+domain)
	return found
}

func (c *cluster) applyRules(p *process, base uint64, text, author string) (answer, error) {
	body, err := json.Marshal(api.RulesApplyRequest{BaseVersion: base, Text: text, Author: author, RequestID: fmt.Sprint(author, base)})
	Expect(err).NotTo(HaveOccurred())
	return c.do(p, "POST", api.PathRules, operatorToken, nil, body)
}

// rulesOf returns the configuration in force on a host.
func (c *cluster) rulesOf(p *process) (rules api.RulesResponse, answered bool) {
	answered = c.get(p, api.PathRules, &rules)
	return rules, answered
}

func (c *cluster) version(p *process) uint64 {
	rules, _ := c.rulesOf(p)
	return rules.Version
}

// begin applies the first rules and waits until they are in force everywhere.
func (c *cluster) begin(text string) {
	Eventually(func() string {
		a, err := c.applyRules(c.hosts[0], 0, text, "ops")
		if err != nil {
			return err.Error()
		}
		return a.String()
	}, "15s", "100ms").Should(HavePrefix("200"))
	c.awaitVersion(1, "5s")
}

func (c *cluster) awaitVersion(v uint64, bound string) {
	for _, p := range c.hosts {
		Eventually(func() uint64 { return c.version(p) }, bound, "20ms").Should(Equal(v), "host "+p.id)
	}
}

// executors starts executors in each of the given failure domains.
func (c *cluster) executors(perDomain int, domains ...string) []*standin.Executor {
	var list []*standin.Executor
	for _, domain := range domains {
		for i := range perDomain {
			list = append(list, c.executor(domain, i))
		}
	}
	return list
}

// executor starts one executor. It ends with the spec, or by killExecutor.
func (c *cluster) executor(domain string, i int) *standin.Executor {
	e, err := standin.NewExecutor(standin.ExecutorConfig{
		ID: fmt.Sprintf("%s-x%d", domain, i), Service: service, Domain: domain,
		Hosts: c.urls(domain), Token: backendToken, Slots: 8, Connections: 64, ServiceTime: 5 * time.Millisecond, Seed: uint64(i),
	})
	Expect(err).NotTo(HaveOccurred())
	kill := sync.OnceFunc(e.Kill)
	c.kills[e] = kill
	DeferCleanup(kill)
	return e
}

// killExecutor ends an executor. The answers of its running requests are cut
// off, as when a process dies.
func (c *cluster) killExecutor(e *standin.Executor) {
	e.SetCutOff(true)
	c.kills[e]()
}

func (c *cluster) urls(domain string) []string {
	var urls []string
	for _, p := range c.inDomain(domain) {
		urls = append(urls, "http://"+p.http)
	}
	return urls
}

func (c *cluster) request(p *process, body string, headers map[string]string) (answer, error) {
	all := map[string]string{api.HeaderCustomer: customer}
	for k, v := range headers {
		all[k] = v
	}
	return c.do(p, "POST", api.RequestsPath(service), "", all, []byte(body))
}

// awaitServing waits until a host answers requests.
func (c *cluster) awaitServing(list ...*process) {
	for _, p := range list {
		Eventually(func() string {
			a, err := c.request(p, "ping", nil)
			if err != nil {
				return err.Error()
			}
			return a.String()
		}, "10s", "50ms").Should(Equal("200 ping"), "host "+p.id)
	}
}

func baseRules() string {
	text, err := os.ReadFile(filepath.Join("testdata", "base.rules"))
	Expect(err).NotTo(HaveOccurred())
	return strings.TrimSpace(string(text)) + "\n"
}

// changedRules returns the base rules with a mark that makes them differ.
func changedRules(mark string) string {
	return strings.Replace(baseRules(), "second contract", "second contract, "+mark, 1)
}
