package serving_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// BenchmarkStep measures the steps of one request from its arrival to its response.
// With a backlog, all slots are in use and all customers have queued requests.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ executors, customers int }{{50, 4}, {200, 110}} {
		for _, backlog := range []int{0, 500} {
			name := fmt.Sprintf("executors=%d/customers=%d/backlog=%d", size.executors, size.customers, backlog)
			b.Run(name, func(b *testing.B) { benchmarkStep(b, size.executors, size.customers, backlog) })
		}
	}
}

func benchmarkStep(b *testing.B, executors, customers, backlog int) {
	cfg := serving.Config{
		Self: "host-a", Hosts: []string{"host-a", "host-b"}, Domain: "zrh", Hedging: true,
		Service: structs.Service{Name: "basket-planner", Slots: 8, Connections: 64, RetryBudget: 0.1},
		Classes: []structs.ClassRule{{Class: structs.ClassUrgent, ReservedSlots: 0.1, MaxQueue: 2000}},
	}
	for i := range customers {
		cfg.Customers = append(cfg.Customers, structs.Customer{Name: "customer-" + strconv.Itoa(i), Weight: 1 + i%3})
	}
	d := serving.NewDispatcher(cfg)
	for i := range executors {
		id := "executor-" + strconv.Itoa(i)
		d.Step(0, serving.BackendUpdated{Backend: structs.Backend{ID: id, Service: "basket-planner", Domain: "zrh", Address: id, Slots: 8, State: structs.BackendUp}})
	}
	classes := []structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}
	now, serial := time.Duration(0), 0
	var sent []serving.Send
	arrive := func() {
		serial++
		r := structs.Request{ID: strconv.Itoa(serial), Customer: cfg.Customers[serial%customers].Name, Class: classes[serial%3], Remaining: time.Minute}
		for _, effect := range d.Step(now, serving.RequestArrived{Request: r, BodyBytes: 1000}) {
			if s, ok := effect.(serving.Send); ok {
				sent = append(sent, s)
			}
		}
	}
	fill := backlog + executors*2
	if backlog > 0 {
		fill = backlog + executors*4
	}
	for range fill {
		arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		now += 200 * time.Microsecond
		arrive()
		s := sent[0]
		sent = sent[1:]
		for _, effect := range d.Step(now, serving.AttemptFinished{RequestID: s.RequestID, Attempt: s.Attempt, Result: serving.ResultOK}) {
			if s, ok := effect.(serving.Send); ok {
				sent = append(sent, s)
			}
		}
	}
}
