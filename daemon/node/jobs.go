package node

import (
	"sync"
	"time"

	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/routing"
	"cranberrydrum.dev/scheduler/structs"
)

// hostedDomain is a failure domain whose log has a replica on this host.
type hostedDomain struct {
	owner *domainOwner
	state *domain.State
}

// jobQuery selects a job of a failure domain, or all. If Customer is set, only
// its jobs are selected.
type jobQuery struct {
	Domain   string `msgpack:"d"`
	Job      string `msgpack:"j,omitempty"`
	Customer string `msgpack:"c,omitempty"`
}

// jobSubmit submits a job to the owner of a failure domain.
type jobSubmit struct {
	Spec structs.JobSpec `msgpack:"s"`
}

// jobList is the reply to a list query.
type jobList struct {
	Jobs []structs.Job `msgpack:"j"`
}

// jobResult is the reply to the other job methods.
type jobResult struct {
	Job structs.Job `msgpack:"j"`
}

func (n *Node) handleJobSubmit(_ string, s *jobSubmit, remaining time.Duration) (any, error) {
	return n.proposeJob(s.Spec.Domain, &jobs.Submit{Spec: s.Spec}, remaining)
}

func (n *Node) handleJobCancel(_ string, q *jobQuery, remaining time.Duration) (any, error) {
	return n.proposeJob(q.Domain, &jobs.Cancel{Job: q.Job, Customer: q.Customer}, remaining)
}

// proposeJob replicates a command of a caller and returns the job concerned.
func (n *Node) proposeJob(domainName string, body jobs.Body, remaining time.Duration) (any, error) {
	command, err := n.jobCommand(domainName, body)
	if err != nil {
		return nil, err
	}
	data, err := n.group(domainGroup(domainName)).Propose(command, remaining)
	if err != nil {
		return nil, err
	}
	result, err := jobs.DecodeResult(data)
	if err != nil {
		return nil, err
	}
	if result.Refusal != nil {
		return nil, result.Refusal
	}
	if result.Job == nil {
		return nil, structs.RefuseNotRun(structs.CodeNotFound, "no such job")
	}
	return &jobResult{Job: *result.Job}, nil
}

// jobCommand encodes a command with the time of the owner's clock.
func (n *Node) jobCommand(domainName string, body jobs.Body) ([]byte, error) {
	var command []byte
	err := n.readAsOwner(domainName, func(now time.Duration, o *domainOwner) error {
		var err error
		command, err = domain.EncodeJobs(o.controller.Command(now, body))
		return err
	})
	return command, err
}

// readAsOwner runs a function that only reads the state on the goroutine of a failure
// domain's log, if this host owns the domain, and refuses otherwise. A panic in the
// function costs only this call.
func (n *Node) readAsOwner(domainName string, f func(now time.Duration, o *domainOwner) error) error {
	return n.onLoopOfOwner(domainName, f, func(*domainOwner) error {
		return structs.RefuseNotRun(structs.CodeInternal, "this host failed to handle the call")
	})
}

// runAsOwner is readAsOwner for a function that changes the state of the controller,
// which may be half changed after a panic and is then dropped. The next step of the
// owner starts a new one.
func (n *Node) runAsOwner(domainName string, f func(now time.Duration, o *domainOwner) error) error {
	return n.onLoopOfOwner(domainName, f, func(o *domainOwner) error {
		o.stepDown()
		return structs.RefuseUnknown(structs.CodeInternal, "this host failed to handle the call")
	})
}

func (n *Node) onLoopOfOwner(domainName string, f func(now time.Duration, o *domainOwner) error, afterPanic func(*domainOwner) error) error {
	hosted := n.hosted(domainName)
	if hosted == nil {
		return structs.RefuseNotRun(structs.CodeNotLeader, "this host has no replica of failure domain "+domainName)
	}
	var err error
	log := n.group(domainGroup(domainName))
	ran := log.RunOnLoop(func(now time.Duration) {
		// The last step of the owner may lie before a pause of the process.
		if !hosted.owner.isActive() || !log.HoldsLeaseOnLoop() {
			err = structs.RefuseNotRun(structs.CodeNotLeader, "this host does not own failure domain "+domainName)
			return
		}
		if !n.guard("owner_call", func() { err = f(now, hosted.owner) }, "domain", domainName) {
			err = afterPanic(hosted.owner)
		}
	})
	if !ran {
		return structs.RefuseNotRun(structs.CodeStopping, "this host is stopping")
	}
	return err
}

func (n *Node) handleJobShow(_ string, q *jobQuery, _ time.Duration) (any, error) {
	result := &jobResult{}
	err := n.readAsOwner(q.Domain, func(_ time.Duration, o *domainOwner) error {
		job, ok := o.state.Jobs().Job(q.Job)
		if !ok || (q.Customer != "" && job.Spec.Customer != q.Customer) {
			return structs.RefuseNotRun(structs.CodeNotFound, "no job "+q.Job)
		}
		if reason := o.controller.WaitReason(job.ID); job.Status == structs.JobQueued && reason != "" {
			job.Reason = reason
		}
		result.Job = job
		return nil
	})
	return result, err
}

func (n *Node) handleJobList(_ string, q *jobQuery, _ time.Duration) (any, error) {
	list := &jobList{}
	err := n.readAsOwner(q.Domain, func(_ time.Duration, o *domainOwner) error {
		list.Jobs = o.state.Jobs().Jobs(q.Customer)
		return nil
	})
	return list, err
}

// workerRenewal carries the renewal of a worker to the owner of its domain.
type workerRenewal struct {
	Report structs.WorkerReport `msgpack:"r"`
	// Wait bounds how long the owner may delay the reply while the orders of the
	// worker do not change.
	Wait time.Duration `msgpack:"w,omitempty"`
}

// workerOrders is the reply to a renewal.
type workerOrders struct {
	Orders structs.WorkerOrders `msgpack:"o"`
}

// handleWorkerRenew replies to a renewal at once if the worker has orders to
// carry out. Otherwise it delays the reply until the orders change (long poll),
// so that an order does not wait for the next renewal: urgent work has 4.8 s from
// submission to start, and preparing, starting and preempting take one order
// each.
func (n *Node) handleWorkerRenew(from string, r *workerRenewal, _ time.Duration) (any, error) {
	orders, err := n.renewLongPoll(r)
	if from != n.cfg.HostID {
		orders.Owner = n.cfg.HTTPAdvertise
	}
	return &workerOrders{Orders: orders}, err
}

// renewLongPoll renews a lease and returns the orders. If the worker has carried
// out all of them, it first waits for a change, for at most r.Wait.
func (n *Node) renewLongPoll(r *workerRenewal) (structs.WorkerOrders, error) {
	var changed <-chan struct{}
	orders, err := n.asControllerOf(r.Report, func(now time.Duration, o *domainOwner, holdsLease bool) (structs.WorkerOrders, *structs.Refusal) {
		orders, refusal := o.controller.Renew(now, r.Report, holdsLease)
		if refusal == nil && r.Wait > 0 {
			changed = o.watch(r.Report.Worker.ID)
		}
		return orders, refusal
	})
	if err != nil || r.Wait <= 0 || !jobs.OrdersExecuted(r.Report, orders) {
		return orders, err
	}
	timer := time.NewTimer(min(r.Wait, n.cfg.Timeouts.WorkerLease/longPollLeaseDivisor))
	defer timer.Stop()
	select {
	case <-changed:
	case <-n.stop:
	case <-timer.C:
		// Nothing changed, so the orders of the renewal still hold. The delay is
		// as safe as a slow network: the owner counts the lease from the renewal,
		// the worker from before it.
		return orders, nil
	}
	return n.asControllerOf(r.Report, func(now time.Duration, o *domainOwner, holdsLease bool) (structs.WorkerOrders, *structs.Refusal) {
		return o.controller.Orders(now, r.Report, holdsLease)
	})
}

// longPollLeaseDivisor limits a long poll to a fraction of the worker lease,
// because the worker counts its lease from the time it sent the renewal.
const longPollLeaseDivisor = 4

// asControllerOf calls respond on the goroutine of the log of a worker's failure
// domain, if this host owns it.
func (n *Node) asControllerOf(report structs.WorkerReport, respond func(time.Duration, *domainOwner, bool) (structs.WorkerOrders, *structs.Refusal)) (structs.WorkerOrders, error) {
	var orders structs.WorkerOrders
	domainName := report.Worker.Domain
	err := n.runAsOwner(domainName, func(now time.Duration, o *domainOwner) error {
		var refusal *structs.Refusal
		orders, refusal = respond(now, o, n.group(domainGroup(domainName)).HoldsLeaseOnLoop())
		if refusal != nil {
			return refusal
		}
		return nil
	})
	return orders, err
}

// workerLeave announces the planned stop of a worker.
type workerLeave struct {
	Domain string `msgpack:"d"`
	Worker string `msgpack:"w"`
}

func (n *Node) handleWorkerLeave(_ string, l *workerLeave, _ time.Duration) (any, error) {
	err := n.runAsOwner(l.Domain, func(_ time.Duration, o *domainOwner) error {
		o.controller.DrainWorker(l.Worker, workerLeaveGrace)
		return nil
	})
	return &emptyMessage{}, err
}

// SubmitJob submits a job to the owner of its failure domain. A job without a
// failure domain goes to the key home of its customer and name, so that a resend
// through another host reaches the same owner.
func (n *Node) SubmitJob(spec structs.JobSpec, timeout time.Duration) (structs.Job, error) {
	if spec.Domain == "" {
		spec.Domain = routing.HomeDomain(spec.Customer+"/"+spec.Name, n.keyHomes())
	}
	if refusal := n.checkDomain(spec.Domain); refusal != nil {
		return structs.Job{}, refusal
	}
	result, err := callLeader[jobResult](n, domainGroup(spec.Domain), methodJobSubmit, &jobSubmit{Spec: spec}, timeout, true)
	if err != nil {
		return structs.Job{}, err
	}
	return result.Job, nil
}

// CancelJob cancels a job.
func (n *Node) CancelJob(id, customer string, timeout time.Duration) (structs.Job, error) {
	return n.jobCall(methodJobCancel, id, customer, timeout)
}

// ShowJob returns a job.
func (n *Node) ShowJob(id, customer string, timeout time.Duration) (structs.Job, error) {
	return n.jobCall(methodJobShow, id, customer, timeout)
}

func (n *Node) jobCall(method, id, customer string, timeout time.Duration) (structs.Job, error) {
	domainName := domainOfJob(id)
	if refusal := n.checkDomain(domainName); refusal != nil {
		return structs.Job{}, structs.RefuseNotRun(structs.CodeNotFound, "no job "+id)
	}
	query := &jobQuery{Domain: domainName, Job: id, Customer: customer}
	result, err := callLeader[jobResult](n, domainGroup(domainName), method, query, timeout, true)
	if err != nil {
		return structs.Job{}, err
	}
	return result.Job, nil
}

// ListJobs returns the jobs of all reachable failure domains and the names of
// the unreachable ones. It queries all domains concurrently, because the call to
// a domain without a leader fails only after leaderWaitTimeout.
func (n *Node) ListJobs(customer string, timeout time.Duration) (list []structs.Job, unreachable []string) {
	domains := n.domains()
	results := make([]*jobList, len(domains))
	var queries sync.WaitGroup
	for i, d := range domains {
		queries.Go(func() {
			query := &jobQuery{Domain: d, Customer: customer}
			results[i], _ = callLeader[jobList](n, domainGroup(d), methodJobList, query, timeout, true)
		})
	}
	queries.Wait()
	for i, result := range results {
		if result == nil {
			unreachable = append(unreachable, domains[i])
			continue
		}
		list = append(list, result.Jobs...)
	}
	return list, unreachable
}

// RenewWorker sends the renewal of a worker to the owner of its failure domain.
// The owner may delay the reply by up to wait while the orders do not change.
func (n *Node) RenewWorker(r structs.WorkerReport, wait, timeout time.Duration) (structs.WorkerOrders, error) {
	if refusal := n.checkDomain(r.Worker.Domain); refusal != nil {
		return structs.WorkerOrders{}, refusal
	}
	renewal := &workerRenewal{Report: r, Wait: wait}
	if n.leaderOf(domainGroup(r.Worker.Domain)) == n.cfg.HostID {
		// Most renewals arrive at the owner. Handling them directly avoids
		// encoding and decoding both messages.
		orders, err := n.renewLongPoll(renewal)
		if err == nil || failureKindOf(err) != failureRetryable {
			return orders, err
		}
	}
	result, err := callLeader[workerOrders](n, domainGroup(r.Worker.Domain), methodWorkerRenew, renewal, timeout, false)
	if err != nil {
		return structs.WorkerOrders{}, err
	}
	return result.Orders, nil
}

// LeaveWorker announces the planned stop of a worker of this host's failure
// domain.
func (n *Node) LeaveWorker(worker string, timeout time.Duration) error {
	leave := &workerLeave{Domain: n.cfg.Domain, Worker: worker}
	_, err := callLeader[emptyMessage](n, domainGroup(n.cfg.Domain), methodWorkerLeave, leave, timeout, true)
	return err
}
