package e2e_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/daemon/standin"
	"cranberrydrum.dev/scheduler/structs"
)

const (
	// cancelBatchSize is the number of jobs in each batch that is cancelled.
	cancelBatchSize = 12
	// longRunTime is longer than partialRunBound, so that members that continue
	// without the others are detected.
	longRunTime = 6 * time.Second
	// inboundCutTime covers the step-down of an owner that receives nothing, an
	// election, and the lease of a worker with its margin. An owner that is
	// still active after this time conflicts with the next owner.
	inboundCutTime = electionTime/2 + electionTime + jobLease + leaseMargin + 500*time.Millisecond
)

// wrongDeclaredRuntimes are declared run times that differ widely from the
// actual ones.
var wrongDeclaredRuntimes = []time.Duration{time.Millisecond, time.Second, time.Hour}

// submitWithWrongRuntimes submits gangs with wrong declared run times, adds
// their sizes to sizes and returns their ids.
func (c *cluster) submitWithWrongRuntimes(name string, count int, runtime time.Duration, sizes map[string]int) []string {
	var ids []string
	for i := range count {
		size := []int{8, 16, 32, 4}[i%4]
		id := c.submit(api.JobSubmitRequest{Name: name + "-" + strconv.Itoa(i), Customer: customer, Accelerators: size,
			DeclaredRuntimeMS: wrongDeclaredRuntimes[i%len(wrongDeclaredRuntimes)].Milliseconds(), CheckpointTimeMS: 50, Command: []string{"run", runtime.String()}})
		sizes[id] = size
		ids = append(ids, id)
	}
	return ids
}

// cancel cancels jobs through all hosts in turn, retrying until each
// cancellation is accepted.
func (c *cluster) cancel(ids []string) {
	for i, id := range ids {
		attempt := i
		Eventually(func() string {
			attempt++
			a, err := c.doWithTimeout(6*time.Second, c.hosts[attempt%len(c.hosts)], "DELETE", api.JobPath(id), operatorToken, nil, nil)
			if err != nil {
				return err.Error()
			}
			return a.String()
		}, "15s", "20ms").Should(HavePrefix("200"), "cancelling "+id)
	}
}

// awaitCancelled requires that the cancelled jobs end and that none of their
// tasks keeps running.
func (w *workerPool) awaitCancelled(ids []string) {
	Eventually(func() []string {
		return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
			return w.c.job(id).Status == structs.JobCancelled && w.log.Running(id) == 0
		})
	}, partialRunBound, "50ms").Should(BeEmpty(), "jobs that are still running after their cancellation")
}

// expectNeverRunnable requires that each host refuses a gang larger than the
// failure domain as never runnable.
func (c *cluster) expectNeverRunnable() {
	body := fmt.Sprintf(`{"name":"too-large","customer":%q,"failure_domain":%q,"accelerators":129,"declared_runtime_ms":1000}`, customer, oerlikon)
	for _, p := range c.hosts {
		a, err := c.do(p, "POST", api.PathJobs, operatorToken, nil, []byte(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.refusal).To(Equal(string(structs.CodeNeverRunnable)), "host "+p.id+": "+a.String())
		Expect(a.outcome()).To(Equal(structs.OutcomeNotRun))
	}
}

var _ = Describe("Jobs under a wave of trouble (P2)", func() {
	// Guards against a gang that continues without a member that failed or was
	// cancelled, a job that is requeued while tasks of its previous run
	// continue, a cancelled job that is started again by a new owner, and a job
	// that can never run and blocks the others.
	//
	// Two of 16 workers fail every task and one is missing, so the gang of all
	// accelerators can never start. The job "wide" is first placed on the only
	// complete rack, in which a worker fails, and must then be spread over both
	// racks. Its tasks run longer than partialRunBound.
	It("keep gangs whole while batches of jobs are cancelled, workers fail and their owner is killed", func() {
		c := startJobHosts()
		w := startWorkersWith(c, 15, func(i int, cfg *standin.WorkerConfig) { cfg.FailAll = i == 0 || i == 9 })
		c.expectNeverRunnable()
		sizes := map[string]int{}
		unplaceable := c.submit(api.JobSubmitRequest{Name: "whole-domain", Customer: customer, Accelerators: 128, DeclaredRuntimeMS: 1000, Command: []string{"run", "1s"}})
		sizes[unplaceable] = 128
		wide := c.submit(api.JobSubmitRequest{Name: "wide", Customer: customer, Accelerators: 64, DeclaredRuntimeMS: 1, Command: []string{"run", (partialRunBound + time.Second/2).String()}})
		sizes[wide] = 64
		first := c.submitWithWrongRuntimes("first", cancelBatchSize, longRunTime, sizes)
		kept := c.submitWithWrongRuntimes("kept", 8, 400*time.Millisecond, sizes)
		Eventually(func() int { return len(w.log.Starts()) }, "5s", "10ms").Should(BeNumerically(">", 8))
		owner := c.awaitOwner(oerlikon)
		c.cancel(first[:cancelBatchSize/2])
		owner.kill()
		c.cancel(first[cancelBatchSize/2:])
		second := c.submitWithWrongRuntimes("second", cancelBatchSize, longRunTime, sizes)
		c.cancel(second)
		w.awaitCancelled(append(first, second...))
		owner.start()
		c.awaitReady(owner)
		Expect(w.log.Violations()).To(BeEmpty())
		c.awaitSucceeded("15s", append(kept, wide)...)
		Expect(c.job(unplaceable).Status).To(Equal(structs.JobQueued))
		c.expectNeverRunnable()
		w.awaitCancelled(append(first, second...))
		w.check(sizes)
	})
})

// Guards against an owner that still issues orders and renews leases while only
// one direction of its links works, so that two owners start the same gangs, and
// against a failure domain that keeps waiting for such an owner.
var _ = DescribeTable("Jobs whose owner is cut off one way (P2)", func(cut func(c *cluster, on bool, owner *process), bound time.Duration) {
	c := startJobHosts()
	w := startWorkersWith(c, 16, alternateHosts)
	sizes, ids := c.submitGangs(4, bound+time.Second)
	Eventually(func() int { return len(w.log.Starts()) }, "5s", "10ms").Should(BeNumerically(">", 0))
	owner := c.awaitOwner(oerlikon)
	cut(c, true, owner)
	from := time.Now()
	late := c.submit(api.JobSubmitRequest{Name: "late", Customer: customer, Accelerators: accelerators, DeclaredRuntimeMS: 1000, Command: []string{"run", "100ms"}})
	sizes[late] = accelerators
	c.awaitSucceeded("10s", late)
	time.Sleep(time.Until(from.Add(bound)))
	cut(c, false, owner)
	c.awaitSucceeded("20s", ids...)
	w.check(sizes)
},
	Entry("is heard by nobody but hears the others", func(c *cluster, on bool, owner *process) { c.setCutOutbound(on, owner) }, freezeTime),
	Entry("hears nobody but is heard by the others", func(c *cluster, on bool, owner *process) { c.setCutInbound(on, owner) }, inboundCutTime),
)
