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

// Phases and bounds of the demo. configBound and drainBound are the bounds of P8
// and P6 in docs/design.md.
const (
	startTimeout         = 10 * time.Second
	warmUpDelay          = 2 * time.Second
	delayBeforePartition = 2 * time.Second
	partitionDuration    = 4 * time.Second
	delayAfterHeal       = 4 * time.Second
	jobsTimeout          = 10 * time.Second
	configBound          = 3 * time.Second
	drainBound           = 3 * time.Second
	pollInterval         = 20 * time.Millisecond
	operatorName         = "demo"
)

// UnknownDeploymentError reports the name of a deployment without a demo profile.
type UnknownDeploymentError struct{ Name string }

// Error implements error.
func (e *UnknownDeploymentError) Error() string {
	return "unknown deployment " + strconv.Quote(e.Name) + "; allowed: korbfrisch, remada"
}

// ChecksFailedError reports the checks that failed in a run of the demo.
type ChecksFailedError struct{ Failures []string }

// Error implements error.
func (e *ChecksFailedError) Error() string {
	return strconv.Itoa(len(e.Failures)) + " checks failed: " + strings.Join(e.Failures, "; ")
}

// Run runs the demo of a deployment and prints its report. It returns a
// ChecksFailedError if a check failed.
func Run(deployment string, out io.Writer) error {
	p, ok := findProfile(deployment)
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
		return &ChecksFailedError{Failures: s.failures}
	}
	fmt.Fprintln(out, "all checks passed")
	return nil
}

// scenario holds the state of one run of the demo.
type scenario struct {
	d      *deployment
	client *client
	out    io.Writer
	load   *loadGenerator
	jobs   []string
	// submitted maps each job to the time of its acceptance.
	submitted map[string]time.Time
	failures  []string

	configDelay     time.Duration
	drainedExecutor *standin.Executor
	drainedAt       time.Time
}

func (s *scenario) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

func (s *scenario) run() error {
	if err := s.applyFirstRules(); err != nil {
		return err
	}
	if err := s.d.startStandins(); err != nil {
		return err
	}
	time.Sleep(warmUpDelay)
	s.load = newLoadGenerator(s.d, s.client)
	s.load.start()
	s.submitJobs()
	time.Sleep(delayBeforePartition)
	s.drainExecutor()
	s.partitionAndHeal()
	time.Sleep(delayAfterHeal)
	s.load.finish()
	s.awaitJobs()
	s.check()
	return nil
}

func (s *scenario) operator() string { return s.d.profile.token("operator") }

// applyFirstRules applies the rules, retrying until the hosts have elected a
// leader, and waits until they are in force on all hosts.
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
			return &SetupError{Step: "applying the first rules", Cause: err}
		}
		time.Sleep(pollInterval)
	}
	if _, ok := s.awaitVersion(1, s.d.hosts, startTimeout); !ok {
		s.fail("the first configuration was not in force on all hosts within %s", startTimeout)
	}
	fmt.Fprintln(s.out, "rules accepted and in force on all hosts")
	return nil
}

// awaitVersion waits until a configuration version is in force on all given hosts.
// It returns the elapsed time, or false after the bound.
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
		time.Sleep(pollInterval)
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

// drainExecutor drains the first executor and records the time.
func (s *scenario) drainExecutor() {
	s.drainedExecutor = s.d.executors[0]
	if err := s.drainedExecutor.Drain(); err != nil {
		s.fail("draining the first executor: %s", err.Error())
	}
	s.drainedAt = time.Now()
}

// partitionAndHeal partitions a failure domain, changes the rules during the
// partition, and measures the time from the heal until the change is in force on
// all hosts.
func (s *scenario) partitionAndHeal() {
	domain := s.d.profile.partitionedDomain
	fmt.Fprintf(s.out, "partitioning failure domain %s for %s\n", domain, partitionDuration)
	s.d.setCut(domain, true)
	time.Sleep(partitionDuration / 2)
	s.changeRules(domain)
	time.Sleep(partitionDuration / 2)
	s.d.setCut(domain, false)
	fmt.Fprintf(s.out, "healed the partition of failure domain %s\n", domain)
	elapsed, ok := s.awaitVersion(2, s.d.hosts, configBound)
	s.configDelay = elapsed
	if !ok {
		s.fail("P8: the changed configuration was not in force on all hosts within %s after the partition healed", configBound)
	}
}

// changeRules applies a second version of the rules through a host on the majority
// side of the partition.
func (s *scenario) changeRules(partitionedDomain string) {
	majority := slices.DeleteFunc(slices.Clone(s.d.hosts), func(h *demoHost) bool { return h.domain == partitionedDomain })
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
			s.fail("P8: the majority side did not accept a configuration during the partition: %s", err.Error())
			return
		}
		time.Sleep(pollInterval)
	}
	if _, ok := s.awaitVersion(2, majority, configBound); !ok {
		s.fail("P8: the changed configuration was not in force on the majority side within %s", configBound)
	}
}

// awaitJobs waits until all jobs have succeeded, at most jobsTimeout.
func (s *scenario) awaitJobs() {
	deadline := time.Now().Add(jobsTimeout)
	for time.Now().Before(deadline) {
		if len(s.unfinishedJobs()) == 0 {
			return
		}
		time.Sleep(10 * pollInterval)
	}
	s.fail("jobs that did not succeed within the timeout: %s", strings.Join(s.unfinishedJobs(), ", "))
}

func (s *scenario) unfinishedJobs() []string {
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
