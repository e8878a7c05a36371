package control

import (
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/scheduler/structs"
)

// renewalCost is the cost of one renewal with a number of tasks: sizes in bytes and
// CPU times in microseconds.
type renewalCost struct {
	tasks                           int
	request, reply, call, callReply float64
	entryMicros, ownerMicros        float64
}

// tasksPerWorker are the sizes of the renewal measurement. At the target size a worker
// has 16,000 / 910 = 17.6 tasks, more than the accelerators of a current worker.
var tasksPerWorker = []int{0, 8, 18, 32}

const (
	renewingWorkers  = 64
	maxTasks         = 32
	renewalRepeats   = 20_000
	renewalCustomers = 4
)

func measureRenewal(o Options) ([]Row, error) {
	var costs []renewalCost
	for _, tasks := range tasksPerWorker {
		cost, err := renewal(o, tasks)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	pick := func(quantity, unit string, value func(renewalCost) float64) Row {
		row := Row{Quantity: quantity, Unit: unit, Against: "tasks per worker"}
		for _, c := range costs {
			row.Points = append(row.Points, Point{Size: float64(c.tasks), Value: value(c)})
		}
		return row
	}
	rows := []Row{
		pick("renewal request (JSON)", "B", func(c renewalCost) float64 { return c.request }),
		pick("renewal reply (JSON)", "B", func(c renewalCost) float64 { return c.reply }),
		pick("renewal call between hosts", "B", func(c renewalCost) float64 { return c.call }),
		pick("renewal reply between hosts", "B", func(c renewalCost) float64 { return c.callReply }),
		pick("CPU of a renewal at the entry host without sockets", "us", func(c renewalCost) float64 { return c.entryMicros }),
		pick("CPU of a renewal at the owner without sockets", "us", func(c renewalCost) float64 { return c.ownerMicros }),
	}
	agents, err := agentRows(o)
	return append(rows, agents...), err
}

// renewal measures the renewal of a worker that runs a number of tasks.
func renewal(o Options, tasks int) (renewalCost, error) {
	cost := renewalCost{tasks: tasks}
	owner, err := newOwner(renewingWorkers, maxTasks, renewalCustomers)
	if err != nil {
		return cost, err
	}
	if err := owner.fill(tasks); err != nil {
		return cost, err
	}
	report := owner.reports()[0]
	orders, refusal := owner.controller.Renew(owner.now, report, true)
	if refusal != nil {
		return cost, refusal
	}
	if len(orders.Tasks) != tasks {
		return cost, StateError("the orders do not cover the tasks of the worker")
	}
	return cost, cost.measure(o, owner, report, orders)
}

// measure measures the messages of a renewal and the CPU time of their handling.
func (c *renewalCost) measure(o Options, owner *owner, report structs.WorkerReport, orders structs.WorkerOrders) error {
	request, err := json.Marshal(&report)
	if err != nil {
		return &SetupError{Step: "report", Cause: err}
	}
	reply, err := json.Marshal(&orders)
	if err != nil {
		return &SetupError{Step: "orders", Cause: err}
	}
	call, err := msgpack.Marshal(&report)
	if err != nil {
		return &SetupError{Step: "call", Cause: err}
	}
	response, err := msgpack.Marshal(&orders)
	if err != nil {
		return &SetupError{Step: "response", Cause: err}
	}
	c.request, c.reply = float64(len(request)), float64(len(reply))
	c.call, c.callReply = float64(len(call)), float64(len(response))
	repeats := o.repeats(renewalRepeats)
	c.entryMicros, err = cpuMicros(repeats, func() error { return handleAtEntryHost(request, response) })
	if err != nil {
		return err
	}
	c.ownerMicros, err = cpuMicros(repeats, func() error { return handleAtOwner(owner, call) })
	return err
}

// handleAtEntryHost does the work of an entry host without sockets: it decodes the
// renewal and encodes the call to the owner, then decodes the response and encodes the
// reply.
func handleAtEntryHost(request, response []byte) error {
	var report structs.WorkerReport
	if err := json.Unmarshal(request, &report); err != nil {
		return &SetupError{Step: "report", Cause: err}
	}
	if _, err := msgpack.Marshal(&report); err != nil {
		return &SetupError{Step: "call", Cause: err}
	}
	var orders structs.WorkerOrders
	if err := codec.Unmarshal(response, &orders); err != nil {
		return &SetupError{Step: "response", Cause: err}
	}
	if _, err := json.Marshal(&orders); err != nil {
		return &SetupError{Step: "orders", Cause: err}
	}
	return nil
}

// handleAtOwner does the work of the owner of the domain without sockets: it decodes
// the call, renews and encodes the response.
func handleAtOwner(o *owner, call []byte) error {
	var report structs.WorkerReport
	if err := codec.Unmarshal(call, &report); err != nil {
		return &SetupError{Step: "call", Cause: err}
	}
	orders, refusal := o.controller.Renew(o.now, report, true)
	if refusal != nil {
		return refusal
	}
	if _, err := msgpack.Marshal(&orders); err != nil {
		return &SetupError{Step: "response", Cause: err}
	}
	return nil
}
