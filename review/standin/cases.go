package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const jobID = "5c0e7a21d94b36f8"

// playLeave takes an executor away while a subtask that is nearly done runs on it, and
// cuts the way from the system to it just before it deregisters.
func playLeave(d *deployment, trouble bool) (bool, error) {
	const work = 16 * time.Second
	// The leader lets a subtask go on that ends about when the executor leaves.
	const drainAt = work - 3700*time.Millisecond
	if err := d.configure(newConfiguration(1, newRoute("r-3ajwyy7"))); err != nil {
		return false, err
	}
	behave := func(string, string, int) (time.Duration, string) { return work, "done" }
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	task := jobID + ".0.0.0"
	body := `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":16000}]}`
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	if err := waitFor(settleLimit, "the subtask runs", func() bool { return d.runs.lastRun(task) > 0 }); err != nil {
		return false, err
	}
	first, _ := d.runs.get(task, d.runs.lastRun(task))
	time.Sleep(time.Until(first.began.Add(drainAt)))
	e := d.executorNamed(first.executor)
	err := e.leave(func() {
		if trouble {
			d.rec.line("%s: nothing from the system reaches it from now on", e.id)
			e.link.cut.Store(true)
		}
	})
	if err != nil {
		return false, err
	}
	if first, _ := d.runs.get(task, 1); first.hasEnded && first.ending == "stopped" {
		return false, fmt.Errorf("the subtask was moved before the executor left")
	}
	time.Sleep(work + 3*time.Second)
	d.customer(http.MethodGet, routePrefix+jobID, "")
	overlap := d.runs.overlaps(task)
	d.rec.line("two runs of %s at the same time: %v", task, overlap)
	return overlap > 0, nil
}

// playLasts lets one subtask of a job that lasts fail on the two executors that its
// siblings leave to it.
func playLasts(d *deployment, trouble bool) (bool, error) {
	const failures = 2
	if err := d.configure(newConfiguration(1, newRoute("r-3ajwyy7"))); err != nil {
		return false, err
	}
	failing := jobID + ".0.0.0"
	var mu sync.Mutex
	failed := map[string]bool{}
	behave := func(executor, task string, run int) (time.Duration, string) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || task != failing || len(failed) >= failures {
			return 0, ""
		}
		failed[executor] = true
		return 3 * time.Second, "failed"
	}
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":1000,"anti_affinity":1,"long_running":true}]}`, executorCount-1)
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	isAtWork := func(task string) bool {
		r, known := d.runs.get(task, d.runs.lastRun(task))
		return known && !r.hasEnded
	}
	allAtWork := func() bool {
		for i := range executorCount - 1 {
			if !isAtWork(fmt.Sprintf("%s.0.0.%d", jobID, i)) {
				return false
			}
		}
		return true
	}
	if err := waitFor(settleLimit, "all subtasks run", allAtWork); err != nil {
		return false, err
	}
	if trouble {
		hasFailed := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(failed) == failures && !isAtWork(failing)
		}
		if err := waitFor(settleLimit, "the subtask has failed twice", hasFailed); err != nil {
			return false, err
		}
	}
	longest := d.watchMissing(failing, 50*time.Second, isAtWork)
	d.customer(http.MethodGet, routePrefix+jobID, "")
	return longest > lastingBound+time.Second, nil
}

// playAdvice lets a subtask fail once on the only executor that the policy of its queue
// allows.
func playAdvice(d *deployment, trouble bool) (bool, error) {
	terms := advice{DecideMS: 20, EachMS: 2, ValidMS: 5000}
	queue := newRoute("r-3ajwyy7")
	queue.Advice = &terms
	if err := d.configure(newConfiguration(1, queue)); err != nil {
		return false, err
	}
	t, err := startAdvice(d, terms, "i-00000003")
	if err != nil {
		return false, err
	}
	behave := func(_, _ string, run int) (time.Duration, string) {
		if trouble && run == 1 {
			return time.Second, "failed"
		}
		return 2 * time.Second, "done"
	}
	if err := d.startExecutors(behave, t); err != nil {
		return false, err
	}
	task := jobID + ".0.0.0"
	body := `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":2000}]}`
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	if err := waitFor(settleLimit, "the subtask runs", func() bool { return d.runs.lastRun(task) > 0 }); err != nil {
		return false, err
	}
	isDone := func() bool {
		r, known := d.runs.get(task, d.runs.lastRun(task))
		return known && r.hasEnded && r.ending == "done"
	}
	// The rule allows 3 s without a run.
	const watched = 50 * time.Second
	err = waitFor(watched, "the subtask is done", isDone)
	if err == nil {
		time.Sleep(time.Second)
	}
	_, state := d.customer(http.MethodGet, routePrefix+jobID, "")
	d.rec.line("last run %d, done: %v, state %s", d.runs.lastRun(task), err == nil, state)
	return err != nil, nil
}

// playRename replaces the route of an accepted job by one with another name at the same
// host and prefix.
func playRename(d *deployment, trouble bool) (bool, error) {
	const work = 12 * time.Second
	if err := d.configure(newConfiguration(1, newRoute("r-3ajwyy7"))); err != nil {
		return false, err
	}
	behave := func(string, string, int) (time.Duration, string) { return work, "done" }
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	body := `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":12000}]}`
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	time.Sleep(visibleTime + time.Second)
	d.customer(http.MethodGet, routePrefix+jobID, "")
	name := "r-3ajwyy7"
	if trouble {
		name = "r-ce7ejsm"
	}
	next := newRoute(name)
	next.TimeoutMS = 2500
	if err := d.configure(newConfiguration(2, next)); err != nil {
		return false, err
	}
	time.Sleep(configApplyTime + time.Second)
	gone := 0
	for range 5 {
		if status, _ := d.customer(http.MethodGet, routePrefix+jobID, ""); status == http.StatusGone {
			gone++
		}
		time.Sleep(500 * time.Millisecond)
	}
	d.rec.line("an accepted job that nobody cancelled was answered 410 %d times of 5", gone)
	return gone > 0, nil
}

// playRack takes an executor away on the rack that holds the data of a job that lasts. The
// only other executor of that rack runs a sibling of the subtask that has to move.
func playRack(d *deployment, trouble bool) (bool, error) {
	d.rackOf = func(index int) string {
		if index < 2 {
			return "r1-1"
		}
		return "r1-2"
	}
	if err := d.configure(newConfiguration(1, newRoute("r-3ajwyy7"))); err != nil {
		return false, err
	}
	behave := func(string, string, int) (time.Duration, string) { return 0, "" }
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	body := `{"spec":"x","steps":[{"count":2,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":60000,"data_rack":"r1-1","anti_affinity":1,"long_running":true}]}`
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	tasks := []string{jobID + ".0.0.0", jobID + ".0.0.1"}
	isAtWork := func(task string) bool {
		r, known := d.runs.get(task, d.runs.lastRun(task))
		return known && !r.hasEnded
	}
	if err := waitFor(settleLimit, "both subtasks run", func() bool { return isAtWork(tasks[0]) && isAtWork(tasks[1]) }); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		first, _ := d.runs.get(tasks[0], d.runs.lastRun(tasks[0]))
		if err := d.executorNamed(first.executor).leave(func() {}); err != nil {
			return false, err
		}
	}
	longest := d.watchMissing(tasks[0], 45*time.Second, isAtWork)
	d.customer(http.MethodGet, routePrefix+jobID, "")
	return longest > lastingBound+time.Second, nil
}

// lastingBound is the time for which a subtask that lasts may be without a run: 6 s after
// the last one, and 3 s more.
const lastingBound = 9 * time.Second

// watchMissing returns the longest time for which a subtask had no run, among those that
// end while it is watched.
func (d *deployment) watchMissing(task string, watched time.Duration, isAtWork func(string) bool) time.Duration {
	longest := time.Duration(0)
	missingSince := time.Now()
	if r, known := d.runs.get(task, d.runs.lastRun(task)); known && r.hasEnded {
		missingSince = r.ended
	}
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if isAtWork(task) {
			missingSince = time.Now()
		}
		longest = max(longest, time.Since(missingSince))
	}
	d.rec.line("%s was without a run for %v at a stretch, the bound is %v", task, longest.Round(100*time.Millisecond), lastingBound)
	return longest
}

// playReclaim fills the pool with a job that lasts, of one tenant, and lets another tenant
// submit an urgent job within its guarantee.
func playReclaim(d *deployment, trouble bool) (bool, error) {
	const bound, watched = 2700 * time.Millisecond, 40 * time.Second
	urgent := newRoute("r-zzyyjsg")
	urgent.Prefix, urgent.Priority = urgentPrefix, 0
	c := newConfiguration(1, newRoute("r-3ajwyy7"), urgent)
	c.Tenants = append(c.Tenants, tenant{Name: "moba21", APIKeys: []string{otherKey}, Priority: 1, Guaranteed: map[string]int{"gpu": 0}})
	if err := d.configure(c); err != nil {
		return false, err
	}
	const urgentID = "a07e7a21d94b36f8"
	behave := func(_, task string, _ int) (time.Duration, string) {
		if task[:len(urgentID)] == urgentID {
			return 2 * time.Second, "done"
		}
		return 0, ""
	}
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	mayMiss := ""
	if trouble {
		mayMiss = `,"may_miss":1`
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":8000,"mem_mb":4096,"gpu":8,"estimate_ms":1000,"long_running":true%s}]}`, executorCount, mayMiss)
	if err := d.submitAs(otherKey, routePrefix+jobID, body); err != nil {
		return false, err
	}
	allAtWork := func() bool {
		for i := range executorCount {
			if r, known := d.runs.get(fmt.Sprintf("%s.0.0.%d", jobID, i), 1); !known || r.hasEnded {
				return false
			}
		}
		return true
	}
	if err := waitFor(settleLimit, "the job that lasts fills the pool", allAtWork); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if err := d.submit(urgentPrefix+urgentID, `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":8,"estimate_ms":2000}]}`); err != nil {
		return false, err
	}
	accepted := time.Now()
	task := urgentID + ".0.0.0"
	err := waitFor(watched, "the urgent subtask runs", func() bool { return d.runs.lastRun(task) > 0 })
	took := time.Since(accepted)
	d.customer(http.MethodGet, urgentPrefix+urgentID, "")
	d.rec.line("urgent job within its guarantee: begun %v, after %v, the bound is %v", err == nil, took.Round(10*time.Millisecond), bound)
	return err != nil || took > bound, nil
}

// playFills runs a job that serves users on each executor, and submits one whose subtasks
// fill what others leave unused.
func playFills(d *deployment, trouble bool) (bool, error) {
	const bound, watched = 3 * time.Second, 50 * time.Second
	if err := d.configure(newConfiguration(1, newRoute("r-3ajwyy7"))); err != nil {
		return false, err
	}
	const fillID = "f17e7a21d94b36f8"
	behave := func(_, task string, _ int) (time.Duration, string) {
		if task[:len(fillID)] == fillID {
			return 2 * time.Second, "done"
		}
		return 0, ""
	}
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	count := executorCount
	if !trouble {
		count--
	}
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":8000,"mem_mb":4096,"estimate_ms":1000,"anti_affinity":1,"long_running":true,"image":"web","target_ms":200}]}`, count)
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if err := d.submit(routePrefix+fillID, `{"spec":"x","steps":[{"count":2,"cpu":4000,"mem_mb":1024,"estimate_ms":2000,"image":"fill","fills":true}]}`); err != nil {
		return false, err
	}
	accepted := time.Now()
	task := fillID + ".0.0.0"
	err := waitFor(watched, "the subtask that fills runs", func() bool { return d.runs.lastRun(task) > 0 })
	took := time.Since(accepted)
	d.customer(http.MethodGet, routePrefix+fillID, "")
	d.rec.line("job that fills: begun %v, after %v, the bound is %v", err == nil, took.Round(10*time.Millisecond), bound)
	return err != nil || took > bound, nil
}

// playSameID lets the clients of two tenants choose the same ID for jobs of two queues.
func playSameID(d *deployment, trouble bool) (bool, error) {
	second := newRoute("r-zzyyjsg")
	second.Prefix = urgentPrefix
	c := newConfiguration(1, newRoute("r-3ajwyy7"), second)
	c.Tenants = append(c.Tenants, tenant{Name: "moba21", APIKeys: []string{otherKey}, Priority: 1, Guaranteed: map[string]int{"gpu": 0}})
	if err := d.configure(c); err != nil {
		return false, err
	}
	behave := func(string, string, int) (time.Duration, string) { return time.Second, "done" }
	if err := d.startExecutors(behave, nil); err != nil {
		return false, err
	}
	body := `{"spec":"x","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"gpu":1,"estimate_ms":1000}]}`
	if err := d.submit(routePrefix+jobID, body); err != nil {
		return false, err
	}
	id := jobID
	if !trouble {
		id = "a07e7a21d94b36f8"
	}
	if err := d.submitAs(otherKey, urgentPrefix+id, body); err != nil {
		return false, err
	}
	time.Sleep(visibleTime + time.Second)
	status, _ := d.customerAs(otherKey, http.MethodGet, urgentPrefix+id, "")
	return status == http.StatusGone, nil
}
