package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// scenarios holds the cases by the name that their scripts use.
var scenarios = map[string]scenario{
	"moved-route":     movedRoute,
	"replaced-route":  replacedRoute,
	"late-submission": lateSubmission,
	"kept-capacity":   keptCapacity,
	"sharing":         sharing,
}

const (
	prefix   = "/pule252/"
	serviceA = "huvo11a"
	serviceB = "zida28b"
)

// serve starts the hosts, a number of executors of each service and the first configuration,
// and waits until jobs are accepted.
func (r *run) serve(c configuration, executors map[string]int) ([]*executor, error) {
	if err := r.startAll(); err != nil {
		return nil, err
	}
	var list []*executor
	for _, s := range c.Services {
		for range executors[s.Name] {
			e, err := newExecutor(r.deployment, len(list), s.Name, "a", fmt.Sprintf("r1-%d", 1+len(list)/8))
			if err != nil {
				return nil, err
			}
			list = append(list, e)
		}
	}
	if err := r.configure(c); err != nil {
		return nil, err
	}
	if err := r.awaitReady(); err != nil {
		return nil, err
	}
	// The executors' next status reports come after the configuration, and the core counts
	// as stable from the contact time on.
	time.Sleep(contactTime + heartbeatInterval)
	return list, nil
}

// submit hands in a job and returns an error if it is not accepted.
func (r *run) submit(id string, j job) error {
	for attempt := range 4 {
		reply := r.client(attempt, "POST", prefix+id, j)
		if reply.status/100 == 2 {
			return nil
		}
		if reply.status != 0 && reply.status != http.StatusServiceUnavailable && reply.status != http.StatusGatewayTimeout {
			return fmt.Errorf("job %s refused: %s", id, reply)
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s not accepted", id)
}

// stateOf asks for the state of a job until there is a clear answer.
func (r *run) stateOf(id string) (state string, status int) {
	for attempt := range 4 {
		reply := r.client(attempt, "GET", prefix+id, nil)
		if reply.status == http.StatusOK || reply.status/100 == 4 {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(reply.body), &body)
			return body.State, reply.status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", 0
}

// startsOf returns what the executors have begun for a job.
func startsOf(executors []*executor, id string) []startedRun {
	var list []startedRun
	for _, e := range executors {
		for _, s := range e.startedRuns() {
			if strings.HasPrefix(s.task, id+".") {
				list = append(list, s)
			}
		}
	}
	return list
}

// movedRoute sends the queue of an accepted job to another service and drops the old one from
// the configuration. The job is due after that.
func movedRoute(r *run) (bool, error) {
	const (
		due      = 12 * time.Second
		interval = 4 * time.Second
		times    = 3
		work     = time.Second
	)
	routeTo := func(name string) []route { return []route{newRoute("r-3ajwyy7", prefix, name)} }
	executors, err := r.serve(newConfiguration(7, routeTo(serviceA), newService(serviceA), newService(serviceB)), map[string]int{serviceA: 4, serviceB: 4})
	if err != nil {
		return false, err
	}
	id, j := newJobID(), newJob(work, 1)
	firstDue := time.Now().Add(due)
	j.RepeatCount, j.FirstRunMS, j.IntervalMS = times, firstDue.UnixMilli(), interval.Milliseconds()
	if err := r.submit(id, j); err != nil {
		return false, err
	}
	if err := r.submit(newJobID(), newJob(work, 1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	second := newConfiguration(12, routeTo(serviceA), newService(serviceA), newService(serviceB))
	second.Routes[0].TimeoutMS = 2500
	if r.disturbed {
		second = newConfiguration(12, routeTo(serviceB), newService(serviceB))
	}
	if err := r.configure(second); err != nil {
		return false, err
	}
	time.Sleep(configApplyTime)
	// Jobs that are handed in from now on run on the new service.
	if err := r.submit(newJobID(), newJob(work, 1)); err != nil {
		return false, err
	}
	lastDue := firstDue.Add((times - 1) * interval)
	time.Sleep(time.Until(lastDue))
	r.add("the last time of the job is due; the traffic has ended")
	time.Sleep(finishTime)
	var idleSince time.Time
	const watch = 20 * time.Second
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		switch {
		case anyBusy(executors):
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
	}
	state, status := r.stateOf(id)
	if state == "completed" {
		return false, nil
	}
	r.add("LOST: %.0f s after the last time was due the job is %q (%d); %d of its %d subtasks have begun, and all %d executors have been idle for %.0f s",
		time.Since(lastDue).Seconds(), state, status, len(startsOf(executors, id)), times, len(executors), time.Since(idleSince).Seconds())
	const lostTime = 3 * time.Second
	return !idleSince.IsZero() && time.Since(idleSince) > lostTime, nil
}

func anyBusy(executors []*executor) bool {
	return slices.ContainsFunc(executors, (*executor).busy)
}

// replacedRoute removes the route of accepted jobs and adds another one at the same place.
func replacedRoute(r *run) (bool, error) {
	first := newConfiguration(7, []route{newRoute("r-3ajwyy7", prefix, serviceA)}, newService(serviceA))
	executors, err := r.serve(first, map[string]int{serviceA: 4})
	if err != nil {
		return false, err
	}
	kept, cancelled := newJobID(), newJobID()
	for _, id := range []string{kept, cancelled} {
		if err := r.submit(id, newJob(12*time.Second, 2)); err != nil {
			return false, err
		}
	}
	time.Sleep(visibleTime + time.Second)
	other, back := newRoute("r-ce7ejsm", "/lohu930/", serviceA), newRoute("r-3ajwyy7", prefix, serviceA)
	second := []route{other, back}
	if r.disturbed {
		second = []route{other}
		back.Name = "r-9k2mfx1"
	}
	if err := r.configure(newConfiguration(12, second, newService(serviceA))); err != nil {
		return false, err
	}
	if err := r.configure(newConfiguration(15, []route{other, back}, newService(serviceA))); err != nil {
		return false, err
	}
	time.Sleep(configApplyTime)
	broken := false
	if state, status := r.stateOf(kept); status == http.StatusGone {
		r.add("LOST: the accepted job %s, which nobody has cancelled, is answered 410 (%q)", kept, state)
		broken = true
	}
	reply := r.client(0, "DELETE", prefix+cancelled, nil)
	if reply.status/100 != 2 && reply.status != http.StatusGone {
		return broken, nil
	}
	acked := time.Now()
	time.Sleep(cancelTime + stopTime + 14*time.Second)
	for _, s := range startsOf(executors, cancelled) {
		if s.at.After(acked.Add(cancelTime)) {
			r.add("UNASKED: %s begins %s run %d %.1f s after the cancel was confirmed", s.executor, s.task, s.run, s.at.Sub(acked).Seconds())
			broken = true
		}
		if s.endedAt.IsZero() || s.endedAt.After(acked.Add(cancelTime+stopTime)) {
			r.add("UNASKED: %s still runs %s run %d %.1f s after the cancel was confirmed", s.executor, s.task, s.run, (cancelTime + stopTime).Seconds())
			broken = true
		}
	}
	return broken, nil
}

// lateSubmission freezes an entry host while it has a submission, whose client gives up and
// cancels the job.
func lateSubmission(r *run) (bool, error) {
	const (
		freeze = 3500 * time.Millisecond
		giveUp = 300 * time.Millisecond
		settle = 50 * time.Millisecond
	)
	c := newConfiguration(7, []route{newRoute("r-3ajwyy7", prefix, serviceA)}, newService(serviceA))
	executors, err := r.serve(c, map[string]int{serviceA: 4})
	if err != nil {
		return false, err
	}
	id := newJobID()
	frozenAt, patience := time.Now(), clientTimeout
	if r.disturbed {
		r.signal(r.entries()[0], syscall.SIGSTOP)
		// All threads of the process have stopped by then.
		time.Sleep(settle)
		patience = giveUp
	}
	submitted := r.clientWithin(0, "POST", prefix+id, newJob(5*time.Second, 2), patience)
	reply := r.client(1, "DELETE", prefix+id, nil)
	if reply.status/100 != 2 && reply.status != http.StatusGone {
		return false, fmt.Errorf("cancel not confirmed: %s", reply)
	}
	acked := time.Now()
	if r.disturbed {
		time.Sleep(time.Until(frozenAt.Add(freeze)))
		r.signal(r.entries()[0], syscall.SIGCONT)
	}
	r.add("the submission got: %s", submitted)
	time.Sleep(15 * time.Second)
	broken := false
	for _, s := range startsOf(executors, id) {
		if s.at.After(acked.Add(cancelTime)) {
			r.add("UNASKED: %s begins %s run %d %.1f s after the cancel was confirmed with %d", s.executor, s.task, s.run, s.at.Sub(acked).Seconds(), reply.status)
			broken = true
		}
	}
	state, status := r.stateOf(id)
	r.add("the job is %q (%d)", state, status)
	return broken, nil
}

// sharing empties the executor of a subtask that serves users while each of the others runs a
// subtask that fills.
func sharing(r *run) (bool, error) {
	const (
		executors = 6
		// A lasting subtask counts as lost from lastingGrace after its last run, once the
		// contact time and lostTime have been calm.
		lastingGrace = 6 * time.Second
		lostTime     = 3 * time.Second
		watch        = 30 * time.Second
	)
	urgent := newRoute("r-zzyyjsg", "/pufi791/", serviceA)
	urgent.Priority = 0
	filling := newRoute("r-3ajwyy7", prefix, serviceA)
	filling.Priority = 2
	list, err := r.serve(newConfiguration(7, []route{filling, urgent}, newService(serviceA)), map[string]int{serviceA: executors})
	if err != nil {
		return false, err
	}
	servingID, fillingID := newJobID(), newJobID()
	serves := job{Spec: `{"lasts":true}`, Steps: []step{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMS: 1000, LongRunning: true, Image: "front-1", TargetMS: 100}}}
	if reply := r.client(0, "POST", urgent.PathPrefix+servingID, serves); reply.status/100 != 2 {
		return false, fmt.Errorf("serving job not accepted: %s", reply)
	}
	if err := await(5*time.Second, func() bool { return len(startsOf(list, servingID)) == 1 }); err != nil {
		return false, fmt.Errorf("the serving job does not run: %w", err)
	}
	fills := job{Spec: `{"lasts":true}`, Steps: []step{{Count: executors - 1, CPU: 2000, MemMB: 1000, EstimateMS: 1000, LongRunning: true, Image: "batch-1", Fills: true, AntiAffinity: 1}}}
	if err := r.submit(fillingID, fills); err != nil {
		return false, err
	}
	if err := await(10*time.Second, func() bool { return len(startsOf(list, fillingID)) == executors-1 }); err != nil {
		return false, fmt.Errorf("the filling job does not run: %w", err)
	}
	time.Sleep(contactTime)
	if r.disturbed {
		home := startsOf(list, servingID)[0].executor
		for _, e := range list {
			if e.id == home {
				e.leave()
			}
		}
	}
	leftAt := time.Now()
	time.Sleep(lastingGrace + contactTime + lostTime)
	broken := !isAtWork(list, servingID)
	if broken {
		r.add("LOST: the lasting subtask of %s is not at work %.0f s after its executor left; each of the other %d executors runs one filling subtask of 2 cores and 1 GB",
			servingID, time.Since(leftAt).Seconds(), executors-1)
	}
	time.Sleep(watch)
	r.add("%.0f s later the lasting subtask is at work: %t", watch.Seconds(), isAtWork(list, servingID))
	_ = r.client(0, "GET", urgent.PathPrefix+servingID, nil)
	return broken, nil
}

// keptCapacity empties the executor of a lasting job while all free capacity is kept for urgent
// jobs, which come regularly.
func keptCapacity(r *run) (bool, error) {
	const (
		executors    = 6
		urgentEvery  = 5 * time.Second
		urgentTasks  = 2 * gpusPerExecutor
		bulkTasks    = 40
		lastingGrace = 6 * time.Second
		lostTime     = 3 * time.Second
		watch        = 15 * time.Second
	)
	urgent, bulkRoute := newRoute("r-zzyyjsg", "/pufi791/", serviceA), newRoute("r-ce7ejsm", "/lohu930/", serviceA)
	urgent.Priority, urgent.Stretch, bulkRoute.Priority = 0, 1.5, 2
	routes := []route{newRoute("r-3ajwyy7", prefix, serviceA), bulkRoute, urgent}
	list, err := r.serve(newConfiguration(7, routes, newService(serviceA)), map[string]int{serviceA: executors})
	if err != nil {
		return false, err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		j := newJob(time.Second, 1)
		j.Steps[0].Count = urgentTasks
		for i := 0; ; i++ {
			_ = r.client(i, "POST", urgent.PathPrefix+newJobID(), j)
			select {
			case <-ended:
				return
			case <-time.After(urgentEvery):
			}
		}
	}()
	time.Sleep(2 * time.Second)
	lastingID := newJobID()
	lasting := job{Spec: `{"lasts":true}`, Steps: []step{{Count: 2, CPU: 2000, MemMB: 1000, GPU: 1, EstimateMS: 1000, LongRunning: true, Image: "front-1"}}}
	if err := r.submit(lastingID, lasting); err != nil {
		return false, err
	}
	if err := await(5*time.Second, func() bool { return len(startsOf(list, lastingID)) == 2 }); err != nil {
		return false, fmt.Errorf("the lasting job does not run: %w", err)
	}
	bulk := newJob(70*time.Second, 1)
	bulk.Steps[0].Count, bulk.Steps[0].CPU = bulkTasks, 7000
	if reply := r.client(0, "POST", bulkRoute.PathPrefix+newJobID(), bulk); reply.status/100 != 2 {
		return false, fmt.Errorf("bulk job not accepted: %s", reply)
	}
	time.Sleep(contactTime + 2*time.Second)
	if r.disturbed {
		home := startsOf(list, lastingID)[0].executor
		for _, e := range list {
			if e.id == home {
				e.leave()
			}
		}
	}
	time.Sleep(lastingGrace + contactTime)
	// The lasting job has to be at work at some moment of lostTime.
	atWork := false
	for end := time.Now().Add(lostTime); time.Now().Before(end) && !atWork; time.Sleep(50 * time.Millisecond) {
		atWork = isAtWork(list, lastingID)
	}
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(time.Second) {
		var loads []string
		for _, e := range list {
			loads = append(loads, fmt.Sprintf("%s %d", e.id, e.runCount()))
		}
		r.add("the lasting job is at work: %t; subtasks of 1 GPU on each executor of %d GPUs: %s", isAtWork(list, lastingID), gpusPerExecutor, strings.Join(loads, ", "))
	}
	return !atWork, nil
}

// isAtWork returns whether a subtask of a job runs on an executor that is up.
func isAtWork(executors []*executor, id string) bool {
	for _, e := range executors {
		e.mu.Lock()
		for task := range e.running {
			if strings.HasPrefix(task, id+".") {
				e.mu.Unlock()
				return true
			}
		}
		e.mu.Unlock()
	}
	return false
}
