package demo

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// Bounds of the demo. Those of the promises come from the design page.
const (
	startTimeout = 10 * time.Second
	warmUp       = 2 * time.Second
	beforeCut    = 2 * time.Second
	cutDuration  = 4 * time.Second
	afterHeal    = 4 * time.Second
	jobsTimeout  = 10 * time.Second
	configBound  = 3 * time.Second
	drainBound   = 3 * time.Second
	poll         = 20 * time.Millisecond
	operatorName = "demo"
)

// UnknownDeploymentError reports a deployment that the demo does not have.
type UnknownDeploymentError struct{ Name string }

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return "unknown deployment " + strconv.Quote(e.Name) + "; allowed: korbfrisch, remada"
}

// BrokenPromiseError reports promises that did not hold.
type BrokenPromiseError struct{ Failures []string }

// Error implements error.
func (e *BrokenPromiseError) Error() string {
	return strconv.Itoa(len(e.Failures)) + " checks failed: " + strings.Join(e.Failures, "; ")
}

// Run runs the demo of a deployment and prints its report. It returns a
// BrokenPromiseError if a promise that it checked did not hold.
func Run(deployment string, out io.Writer) error {
	p, ok := profileOf(deployment)
	if !ok {
		return &UnknownDeploymentError{Name: deployment}
	}
	cfg, errs := rules.Parse(p.name+".rules", []byte(p.rules), node.CheckGuarantees)
	if len(errs) > 0 {
		return errs[0]
	}
	fmt.Fprintf(out, "starting %d hosts in %d failure domains of %s\n", hostsPerDomain*len(cfg.Domains), len(cfg.Domains), p.name)
	d, err := newDeployment(p, cfg)
	if err != nil {
		return err
	}
	defer d.close()
	s := &scenario{d: d, client: newClient(), out: out, submitted: map[string]time.Time{}}
	if err := s.run(); err != nil {
		return err
	}
	s.report()
	if len(s.failures) > 0 {
		return &BrokenPromiseError{Failures: s.failures}
	}
	fmt.Fprintln(out, "every checked promise held")
	return nil
}

// scenario is one run of the demo.
type scenario struct {
	d      *deployment
	client *client
	out    io.Writer
	load   *load
	jobs   []string
	// submitted is when each job was accepted.
	submitted map[string]time.Time
	failures  []string

	convergence time.Duration
	drained     *standin.Executor
	drainedAt   time.Time
}

func (s *scenario) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *scenario) run() error {
	if err := s.applyFirstRules(); err != nil {
		return err
	}
	if err := s.d.startBackends(); err != nil {
		return err
	}
	time.Sleep(warmUp)
	s.load = newLoad(s.d, s.client)
	s.load.start()
	s.submitJobs()
	time.Sleep(beforeCut)
	s.drainOne()
	s.cutAndHeal()
	time.Sleep(afterHeal)
	s.load.finish()
	s.awaitJobs()
	s.check()
	return nil
}

func (s *scenario) operator() string { return s.d.profile.token("operator") }

// applyFirstRules waits for the first leader and applies the rules.
func (s *scenario) applyFirstRules() error {
	request := api.RulesApplyRequest{Text: s.d.profile.rules, Author: operatorName, RequestID: "demo-1"}
	deadline := time.Now().Add(startTimeout)
	for {
		var accepted api.RulesApplyResponse
		err := s.client.call(fasthttp.MethodPost, s.d.hosts[0].url()+api.PathRules, s.operator(), &request, &accepted)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			return &SetupError{What: "applying the first rules", Cause: err}
		}
		time.Sleep(poll)
	}
	if _, ok := s.awaitVersion(1, s.d.hosts, startTimeout); !ok {
		s.fail("the first configuration was not in force everywhere within %s", startTimeout)
	}
	fmt.Fprintln(s.out, "rules accepted and in force on all hosts")
	return nil
}

// awaitVersion waits until hosts have a configuration version in force.
func (s *scenario) awaitVersion(version uint64, hosts []*demoHost, bound time.Duration) (time.Duration, bool) {
	start := time.Now()
	for time.Since(start) < bound {
		behind := slices.ContainsFunc(hosts, func(h *demoHost) bool {
			_, v := h.node.Config()
			return v < version
		})
		if !behind {
			return time.Since(start), true
		}
		time.Sleep(poll)
	}
	return bound, false
}

func (s *scenario) submitJobs() {
	for _, kind := range s.d.profile.jobs {
		for i := range kind.count {
			request := api.JobSubmitRequest{
				Name:              fmt.Sprintf("%s-%s-%d-%d", kind.customer, kind.domain, kind.accelerators, i),
				FailureDomain:     kind.domain,
				Priority:          kind.priority,
				Accelerators:      kind.accelerators,
				DeclaredRuntimeMS: 4 * kind.runtime.Milliseconds(),
				CheckpointTimeMS:  100,
				Command:           []string{"run", kind.runtime.String()},
			}
			var job api.Job
			err := s.client.call(fasthttp.MethodPost, s.d.hosts[i%len(s.d.hosts)].url()+api.PathJobs, s.d.profile.token(kind.customer), &request, &job)
			if err != nil {
				s.fail("submitting job %s: %s", request.Name, err.Error())
				continue
			}
			s.jobs = append(s.jobs, job.ID)
			s.submitted[job.ID] = time.Now()
		}
	}
	fmt.Fprintf(s.out, "submitted %d gang jobs\n", len(s.jobs))
}

// drainOne lets one executor leave.
func (s *scenario) drainOne() {
	s.drained = s.d.executors[0]
	if err := s.drained.Drain(); err != nil {
		s.fail("draining an executor: %s", err.Error())
	}
	s.drainedAt = time.Now()
}

// cutAndHeal cuts a failure domain off, changes the rules meanwhile, and
// measures how long the domain needs to catch up.
func (s *scenario) cutAndHeal() {
	domain := s.d.profile.cutDomain
	fmt.Fprintf(s.out, "cutting off %s for %s\n", domain, cutDuration)
	s.d.cut(domain, true)
	time.Sleep(cutDuration / 2)
	s.changeRules(domain)
	time.Sleep(cutDuration / 2)
	s.d.cut(domain, false)
	fmt.Fprintf(s.out, "healed %s\n", domain)
	took, ok := s.awaitVersion(2, s.d.hosts, configBound)
	s.convergence = took
	if !ok {
		s.fail("P8: the changed configuration was not in force everywhere %s after the partition healed", configBound)
	}
}

// changeRules applies a second version through a host on the majority side.
func (s *scenario) changeRules(cutDomain string) {
	majority := slices.DeleteFunc(slices.Clone(s.d.hosts), func(h *demoHost) bool { return h.domain == cutDomain })
	request := api.RulesApplyRequest{
		BaseVersion: 1,
		Text:        s.d.profile.rules + "\n# Changed during the partition.\ncustomer demo-guest weight=1 # demo: shows a change while a failure domain is cut off\n",
		Author:      operatorName,
		RequestID:   "demo-2",
	}
	deadline := time.Now().Add(configBound)
	for {
		var accepted api.RulesApplyResponse
		err := s.client.call(fasthttp.MethodPost, majority[0].url()+api.PathRules, s.operator(), &request, &accepted)
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			s.fail("P8: the majority did not accept a configuration during the partition: %s", err.Error())
			return
		}
		time.Sleep(poll)
	}
	if _, ok := s.awaitVersion(2, majority, configBound); !ok {
		s.fail("P8: a configuration was not in force on the majority side within %s", configBound)
	}
}

// awaitJobs waits until all jobs have ended.
func (s *scenario) awaitJobs() {
	deadline := time.Now().Add(jobsTimeout)
	for time.Now().Before(deadline) {
		if len(s.openJobs()) == 0 {
			return
		}
		time.Sleep(10 * poll)
	}
	s.fail("jobs not finished: %s", strings.Join(s.openJobs(), ", "))
}

func (s *scenario) openJobs() []string {
	states := s.jobStates()
	return slices.DeleteFunc(slices.Clone(s.jobs), func(id string) bool {
		return states[id] == structs.JobSucceeded
	})
}

func (s *scenario) jobStates() map[string]structs.JobStatus {
	states := map[string]structs.JobStatus{}
	var list api.JobListResponse
	if err := s.client.call(fasthttp.MethodGet, s.d.hosts[0].url()+api.PathJobs, s.operator(), nil, &list); err != nil {
		return states
	}
	for _, job := range list.Jobs {
		states[job.ID] = job.Status
	}
	return states
}
