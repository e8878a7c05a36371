package workload_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/scheduler/workload"
)

// TestMain sets a fixed seed and number of checks unless flags set them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261204", "rapid.checks": "100", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

func TestWorkload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workload")
}

var executor = workload.ExecutorKey{ID: "i-1", Incarnation: 7}

func apply(s *workload.State, c workload.Command) workload.Result {
	data, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	return workload.DecodeResult(s.Apply(0, 3, data))
}

func job(id string, attempts int, steps ...workload.Step) *workload.Job {
	return &workload.Job{ID: id, QueueName: "q", MaxAttempts: attempts, Spec: workload.Spec{Steps: steps}}
}

func key(id string, step, index int) workload.TaskKey {
	return workload.TaskKey{Job: id, Step: step, Index: index}
}

func start(s *workload.State, k workload.TaskKey, run int) {
	apply(s, workload.Command{Starts: []workload.Start{{Task: k, Run: run, Executor: executor}}})
}

func end(s *workload.State, k workload.TaskKey, run int, ending workload.Ending) {
	apply(s, workload.Command{At: time.Minute, Ends: []workload.End{{Task: k, Run: run, Executor: executor, Ending: ending, Checkpoint: ending.String()}}})
}

var _ = Describe("job state", func() {
	var s *workload.State

	BeforeEach(func() { s = workload.New() })

	// Guards against one attempt too many if a run is ended for another reason before
	// its failure is reported, and against counting that failure twice.
	DescribeTable("counts a failure that is reported late exactly once",
		func(gang bool) {
			apply(s, workload.Command{Submit: job("a", 2, workload.Step{Count: 2, Gang: gang})})
			start(s, key("a", 0, 0), 1)
			end(s, key("a", 0, 0), 1, workload.EndLeaseExpired)
			start(s, key("a", 0, 0), 2)
			for range 2 {
				end(s, key("a", 0, 0), 1, workload.EndFailed)
			}
			Expect(s.Job("a").Phase).To(Equal(workload.Running))
			Expect(s.FailureCounted(key("a", 0, 0), 1)).To(BeTrue())
			end(s, key("a", 0, 0), 2, workload.EndFailed)
			Expect(s.Job("a").Phase).To(Equal(workload.Failed))
		},
		Entry("of a task", false),
		Entry("of a gang", true),
	)

	// Guards against a job that fails by a run that nobody started.
	It("needs no failure of a run that was never started", func() {
		apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 1})})
		Expect(s.FailureCounted(key("a", 0, 0), 1)).To(BeTrue())
		start(s, key("a", 0, 0), 1)
		Expect(s.FailureCounted(key("a", 0, 0), 1)).To(BeFalse())
		Expect(s.FailureCounted(key("a", 0, 0), 1<<53)).To(BeTrue())
	})

	// Guards against a directory that returns to an earlier incarnation of an executor
	// or loses its Draining mark, also across a snapshot.
	It("keeps the latest incarnation of an executor and its Draining mark", func() {
		register := func(incarnation int64, draining bool) {
			apply(s, workload.Command{Register: &workload.Executor{Key: workload.ExecutorKey{ID: "i-1", Incarnation: incarnation}, Address: "10.0.0.1:80", Draining: draining}})
		}
		register(7, false)
		register(7, true)
		register(7, false)
		register(6, false)
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := workload.New()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.Executor("i-1")).To(Equal(&workload.Executor{Key: executor, Address: "10.0.0.1:80", Draining: true}))
		register(8, false)
		apply(s, workload.Command{Deregister: []workload.ExecutorKey{executor}})
		Expect(s.Executor("i-1").Draining).To(BeFalse())
		apply(s, workload.Command{Deregister: []workload.ExecutorKey{{ID: "i-1", Incarnation: 8}}})
		Expect(s.Executor("i-1")).To(BeNil())
	})

	// Guards against a repeated submission that runs a job again.
	It("accepts a job identifier once, also after the end of the job", func() {
		Expect(apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 1})})).To(Equal(workload.ResultApplied))
		Expect(apply(s, workload.Command{Cancel: "a"})).To(Equal(workload.ResultApplied))
		Expect(apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 9})})).To(Equal(workload.ResultUnchanged))
		Expect(s.Job("a").Phase).To(Equal(workload.Cancelled))
		Expect(apply(s, workload.Command{Cancel: "b"})).To(Equal(workload.ResultUnknownJob))
	})

	// Guards against steps that start before the steps they depend on are done.
	It("makes a step runnable when the steps it depends on are done", func() {
		apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 2}, workload.Step{Count: 1, DependsOn: []int{0}})})
		Expect(s.Job("a").Runnable(0, 1)).To(BeFalse())
		for i := range 2 {
			start(s, key("a", 0, i), 1)
			end(s, key("a", 0, i), 1, workload.EndDone)
		}
		Expect(s.Job("a").Runnable(0, 1)).To(BeTrue())
		start(s, key("a", 1, 0), 1)
		end(s, key("a", 1, 0), 1, workload.EndDone)
		Expect(s.Job("a").Phase).To(Equal(workload.Completed))
	})

	// Guards against a stale start that runs a task again.
	It("ignores starts that no longer fit the state", func() {
		apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 1})})
		start(s, key("a", 0, 0), 1)
		start(s, key("a", 0, 0), 2)
		_, t := s.TaskOf(key("a", 0, 0))
		Expect(t.Run.Number).To(Equal(1))
		end(s, key("a", 0, 0), 1, workload.EndDone)
		start(s, key("a", 0, 0), 2)
		Expect(t.Run).To(BeNil())
	})

	// Guards against a late report of an earlier run that ends the current one.
	It("ignores the end of another run", func() {
		apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 1})})
		start(s, key("a", 0, 0), 2)
		end(s, key("a", 0, 0), 1, workload.EndDone)
		Expect(s.Job("a").Phase).To(Equal(workload.Running))
	})

	// Guards against deleting a job while its runs still hold resources of executors.
	It("completes a gang with its first done member and keeps the other runs until they end", func() {
		apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 2, Gang: true})})
		start(s, key("a", 0, 0), 1)
		start(s, key("a", 0, 1), 1)
		end(s, key("a", 0, 0), 1, workload.EndDone)
		Expect(s.Job("a").Phase).To(Equal(workload.Completed))
		Expect(s.RunsOn(executor)).To(HaveLen(1))
		apply(s, workload.Command{Purge: []string{"a"}})
		Expect(s.Job("a")).NotTo(BeNil())
		end(s, key("a", 0, 1), 1, workload.EndGangBroken)
		apply(s, workload.Command{Purge: []string{"a"}})
		Expect(s.Job("a")).To(BeNil())
	})

	// Guards against gang members that resume from different checkpoints.
	It("shares a checkpoint between the members of a gang", func() {
		apply(s, workload.Command{Submit: job("a", 1, workload.Step{Count: 2, Gang: true})})
		start(s, key("a", 0, 0), 1)
		start(s, key("a", 0, 1), 1)
		end(s, key("a", 0, 0), 1, workload.EndStopped)
		_, other := s.TaskOf(key("a", 0, 1))
		Expect(other.Checkpoint).To(Equal("stopped"))
		Expect(s.Job("a").Occurrences[0].Steps[0].LastIncompleteRun).To(Equal(1))
	})

	// Guards against a delayed configuration that replaces a newer one.
	It("keeps the configuration with the highest version", func() {
		put := func(version int64, document string) workload.Result {
			return apply(s, workload.Command{Configure: &workload.Config{Version: version, Document: []byte(document)}})
		}
		Expect(put(7, "seven")).To(Equal(workload.ResultApplied))
		Expect(put(7, "other")).To(Equal(workload.ResultUnchanged))
		Expect(put(5, "five")).To(Equal(workload.ResultUnchanged))
		Expect(string(s.Config().Document)).To(Equal("seven"))
	})

	// Guards against requests that reach a queue with a shorter prefix.
	It("matches the longest prefix of a path", func() {
		apply(s, workload.Command{Configure: &workload.Config{Version: 1, Document: []byte("x"), Queues: []workload.Queue{
			{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"},
		}}})
		Expect(s.Match("H", "/a/b/c").Name).To(Equal("long"))
		Expect(s.Match("h", "/a/c").Name).To(Equal("short"))
		Expect(s.Match("other", "/a/c")).To(BeNil())
	})

	// Guards against an invalid log entry that changes the state.
	It("leaves the state unchanged on an entry that cannot be decoded", func() {
		before := s.Changes()
		Expect(workload.DecodeResult(s.Apply(0, 3, []byte("no command")))).To(Equal(workload.ResultInvalid))
		Expect(s.Changes()).To(Equal(before))
	})
})

var _ = DescribeTable("attempts of a task",
	func(gang bool, endings []workload.Ending, want workload.Phase) {
		s := workload.New()
		apply(s, workload.Command{Submit: job("a", 2, workload.Step{Count: 2, Gang: gang})})
		for run, ending := range endings {
			start(s, key("a", 0, 0), run+1)
			start(s, key("a", 0, 1), run+1)
			end(s, key("a", 0, 0), run+1, ending)
			end(s, key("a", 0, 1), run+1, ending)
		}
		Expect(s.Job("a").Phase).To(Equal(want))
	},
	Entry("only failed runs count", false, []workload.Ending{workload.EndFailed, workload.EndStopped, workload.EndLeaseExpired}, workload.Running),
	Entry("the last failed attempt ends the job", false, []workload.Ending{workload.EndFailed, workload.EndFailed}, workload.Failed),
	Entry("a gang counts each run once", true, []workload.Ending{workload.EndFailed}, workload.Running),
	Entry("the last failed attempt of a gang ends the job", true, []workload.Ending{workload.EndFailed, workload.EndFailed}, workload.Failed),
)

var _ = DescribeTable("invalid job specifications",
	func(spec workload.Spec) { Expect(spec.Validate()).To(HaveOccurred()) },
	Entry("no steps", workload.Spec{}),
	Entry("no tasks", workload.Spec{Steps: []workload.Step{{}}}),
	Entry("a dependency that is not an earlier step", workload.Spec{Steps: []workload.Step{{Count: 1, DependsOn: []int{0}}}}),
	Entry("negative resources", workload.Spec{Steps: []workload.Step{{Count: 1, Demand: workload.Resources{GPU: -1}}}}),
	Entry("resources whose sum overflows", workload.Spec{Steps: []workload.Step{{Count: 2, Demand: workload.Resources{GPU: 1 << 62}}}}),
	Entry("resources whose sum over occurrences overflows", workload.Spec{Repeats: 10, Interval: time.Second, Steps: []workload.Step{
		{Count: 10, Demand: workload.Resources{MemoryMB: 1 << 58}}}}),
	Entry("estimates whose sum overflows", workload.Spec{Steps: []workload.Step{{Count: 1, Estimate: 1 << 62}, {Count: 1, Estimate: 1 << 62}}}),
	Entry("repeats without an interval", workload.Spec{Repeats: 2, Steps: []workload.Step{{Count: 1}}}),
	// Names without a bound take all control hosts over their memory: the log keeps them as well.
	Entry("a long image", workload.Spec{Steps: []workload.Step{{Count: 1, Image: strings.Repeat("a", workload.MaxNameBytes+1)}}}),
	Entry("a long label", workload.Spec{Steps: []workload.Step{{Count: 1, Requires: strings.Repeat("a", workload.MaxNameBytes+1)}}}),
	Entry("a long rack", workload.Spec{Steps: []workload.Step{{Count: 1, DataRack: strings.Repeat("a", workload.MaxNameBytes+1)}}}),
	Entry("long names together", workload.Spec{Steps: slices.Repeat([]workload.Step{{Count: 1, Image: strings.Repeat("a", workload.MaxNameBytes)}}, workload.MaxNamesBytes/workload.MaxNameBytes+1)}),
	Entry("too many tasks", workload.Spec{Repeats: 10_000, Interval: time.Second, Steps: []workload.Step{{Count: 10_000}}}),
)

// TestSnapshot guards against state that is missing from a snapshot: after random
// commands, a restored state must react to further commands like the original.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		s := workload.New()
		for n := range rapid.IntRange(1, 40).Draw(t, "commands") {
			applyRandom(t, s, n)
		}
		before, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := workload.New()
		Expect(restored.Restore(before)).To(Succeed())
		for n := range 10 {
			id := fmt.Sprintf("j%d", n)
			end(s, key(id, 0, 0), 1, workload.EndDone)
			end(restored, key(id, 0, 0), 1, workload.EndDone)
			start(s, key(id, 0, 1), 2)
			start(restored, key(id, 0, 1), 2)
			Expect(restored.Job(id)).To(Equal(s.Job(id)))
		}
		Expect(restored.RunsOn(executor)).To(Equal(s.RunsOn(executor)))
	})
}

// applyRandom applies a random command.
func applyRandom(t *rapid.T, s *workload.State, n int) {
	id := fmt.Sprintf("j%d", rapid.IntRange(0, 9).Draw(t, "job"))
	index := rapid.IntRange(0, 1).Draw(t, "index")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		apply(s, workload.Command{At: time.Duration(n), Submit: job(id, 2, workload.Step{Count: 2, Gang: index == 0}, workload.Step{Count: 1, DependsOn: []int{0}})})
	case 1:
		start(s, key(id, 0, index), rapid.IntRange(1, 3).Draw(t, "run"))
	case 2:
		end(s, key(id, 0, index), rapid.IntRange(1, 3).Draw(t, "run"), workload.Ending(rapid.IntRange(1, 8).Draw(t, "ending")))
	case 3:
		apply(s, workload.Command{At: time.Duration(n), Cancel: id})
	case 4:
		apply(s, workload.Command{Purge: []string{id}})
	}
}

// Guards against a key or a route that was withdrawn and is in force again after a
// restart, or after an older configuration that arrives late.
var _ = Describe("a withdrawn key and route", func() {
	It("stay withdrawn after a restart and a late older configuration", func() {
		config := func(version int64, key, prefix string) *workload.Config {
			return &workload.Config{
				Version: version, Document: []byte(key), Services: []workload.Service{{Name: "s"}},
				Queues:    []workload.Queue{{Name: "q", Host: "h", Prefix: prefix, Service: "s", Timeout: time.Second}},
				Customers: []workload.Customer{{Name: "a", Keys: []string{key}}},
			}
		}
		s := workload.New()
		apply(s, workload.Command{Configure: config(1, "old", "/old/")})
		apply(s, workload.Command{Configure: config(2, "new", "/new/")})
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := workload.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(apply(restored, workload.Command{Configure: config(1, "old", "/old/")})).To(Equal(workload.ResultUnchanged))
		_, known := restored.CustomerOf("old")
		Expect(known).To(BeFalse())
		Expect(restored.Match("h", "/old/x")).To(BeNil())
		Expect(restored.Match("h", "/new/x")).NotTo(BeNil())
	})
})
