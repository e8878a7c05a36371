package control

import (
	"encoding/json"
	"time"

	"cranberrydrum.dev/scheduler/agent"
	"cranberrydrum.dev/scheduler/structs"
)

// agentRows measures the agent of a worker against its number of tasks: the CPU time
// of one renewal without sockets, and the heap of the agent.
func agentRows(o Options) ([]Row, error) {
	cpu := Row{Quantity: "CPU of a renewal at the worker's agent without sockets", Unit: "us", Against: "tasks per worker"}
	heapRow := Row{Quantity: "heap of the worker's agent", Unit: "B", Against: "tasks per worker"}
	for _, tasks := range tasksPerWorker {
		micros, err := agentRenewal(o, tasks)
		if err != nil {
			return nil, err
		}
		bytes, err := heap(func() (any, error) { return runningAgents(tasks) })
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(tasks), micros})
		heapRow.Points = append(heapRow.Points, Point{float64(tasks), bytes / heapAgents})
	}
	return []Row{cpu, heapRow}, nil
}

// heapAgents is the number of agents whose heap is measured together.
const heapAgents = 100

// runningAgents returns heapAgents agents that each run a number of tasks.
func runningAgents(tasks int) ([]*agent.Agent, error) {
	var agents []*agent.Agent
	for range heapAgents {
		a, err := runningAgent(tasks)
		if err != nil {
			return nil, err
		}
		agents = append(agents, a)
	}
	return agents, nil
}

// runningAgent returns the agent of a worker that runs a number of tasks.
func runningAgent(tasks int) (*agent.Agent, error) {
	a := agent.New(worker(0, maxTasks), 1)
	a.Step(0, agent.RenewalSent{Seq: 1})
	a.Step(0, agent.OrdersReceived{Seq: 1, Orders: ordersFor(tasks, structs.ActionPrepare)})
	a.Step(0, agent.RenewalSent{Seq: 2})
	a.Step(0, agent.OrdersReceived{Seq: 2, Orders: ordersFor(tasks, structs.ActionStart)})
	if len(a.Report().Tasks) != tasks {
		return nil, StateError("the agent does not run the tasks of its orders")
	}
	return a, nil
}

// ordersFor returns orders for a number of tasks of one accelerator each.
func ordersFor(tasks int, action structs.TaskAction) structs.WorkerOrders {
	orders := structs.WorkerOrders{Term: leaderTerm, Lease: 6 * time.Second}
	for i := range tasks {
		o := structs.TaskOrder{Job: measuredDomain + "-" + decimal(1000+i), Run: 1, Action: action}
		if action == structs.ActionPrepare {
			o.Accelerators, o.Command = []int{i}, []string{"run", "6h"}
		}
		orders.Tasks = append(orders.Tasks, o)
	}
	return orders
}

// agentRenewal returns the CPU time of one renewal in microseconds.
func agentRenewal(o Options, tasks int) (float64, error) {
	a, err := runningAgent(tasks)
	if err != nil {
		return 0, err
	}
	reply, err := json.Marshal(ordersFor(tasks, structs.ActionStart))
	if err != nil {
		return 0, &SetupError{Step: "orders", Cause: err}
	}
	seq, now := uint64(2), time.Duration(0)
	return cpuMicros(o.repeats(renewalRepeats), func() error {
		seq++
		now += time.Millisecond
		return renewAgent(a, now, seq, reply)
	})
}

// renewAgent encodes a report, decodes the reply and passes it to the agent.
func renewAgent(a *agent.Agent, now time.Duration, seq uint64, reply []byte) error {
	a.Step(now, agent.RenewalSent{Seq: seq})
	if _, err := json.Marshal(a.Report()); err != nil {
		return &SetupError{Step: "report", Cause: err}
	}
	var orders structs.WorkerOrders
	if err := json.Unmarshal(reply, &orders); err != nil {
		return &SetupError{Step: "orders", Cause: err}
	}
	a.Step(now, agent.OrdersReceived{Seq: seq, Orders: orders})
	return nil
}
