package control

import (
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/dedup"
	"cranberrydrum.dev/coord/registry"
	"cranberrydrum.dev/scheduler/structs"
)

// heap returns the growth of the live heap in bytes that a value causes.
func heap(build func() (any, error)) (float64, error) {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	value, err := build()
	if err != nil {
		return 0, err
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), nil
}

// heapCase is a kind of state whose heap is measured at several sizes.
type heapCase struct {
	quantity, against string
	sizes             []int
	build             func(size int) (any, error)
}

const (
	memoryWorkers = 64
	memoryKeys    = 1_000_000
)

func heapCases() []heapCase {
	return []heapCase{
		{"heap of an owner without jobs", "workers", []int{50, 200, 910, 1820}, func(size int) (any, error) { return newOwner(size, accelerators, 4) }},
		{"heap of an owner of 64 workers, gangs of 8 tasks", "tasks", []int{512, 1024, 2048}, func(size int) (any, error) {
			return filledOwner(memoryWorkers, size/memoryWorkers)
		}},
		{"heap of an owner of 64 workers, jobs queued", "jobs", []int{1000, 2000, 5000}, queuedOwner},
		{"heap of an owner of 64 workers", "customers", []int{4, 40, 110}, func(size int) (any, error) { return newOwner(memoryWorkers, accelerators, size) }},
		{"heap of a configuration in force", "customers", []int{4, 40, 110}, func(size int) (any, error) {
			return parsedRules([]string{measuredDomain}, 8, accelerators, size)
		}},
		{"heap of request keys with answers of 64 B", "keys", snapshotKeys, func(size int) (any, error) { return keyTable(size) }},
		{"heap of announcements", "executors", []int{50, 200, 1000}, announcements},
	}
}

func measureMemory(o Options) ([]Row, error) {
	var rows []Row
	for _, s := range heapCases() {
		points, err := sweep(o.sizes(s.sizes), func(size int) (float64, error) {
			return heap(func() (any, error) { return s.build(size) })
		})
		if err != nil {
			return nil, err
		}
		rows = append(rows, Row{Quantity: s.quantity, Unit: "B", Against: s.against, Points: points})
	}
	return rows, nil
}

// filledOwner returns an owner whose workers each run a number of tasks.
func filledOwner(workers, tasks int) (*owner, error) {
	o, err := newOwner(workers, maxTasks, renewalCustomers)
	if err != nil {
		return nil, err
	}
	return o, o.fill(tasks)
}

// queuedOwner returns an owner with queued jobs of one whole worker each.
func queuedOwner(count int) (any, error) {
	o, err := newOwner(memoryWorkers, accelerators, renewalCustomers)
	if err != nil {
		return nil, err
	}
	for range count {
		if err := o.submit(o.spec(accelerators)); err != nil {
			return nil, err
		}
	}
	return o, nil
}

// keyTable returns a table with finished request keys.
func keyTable(count int) (*dedup.Table, error) {
	t := dedup.New(dedup.Config{
		MaxKeys: memoryKeys, MaxRecords: 4 * memoryKeys, MaxBytes: 1 << 30,
		MaxResponseBytes: 64 << 10, Retention: 24 * time.Hour, ExpiredRetention: 7 * 24 * time.Hour,
	})
	for i := range count {
		key := measuredKey(i)
		if d := t.Begin(time.Hour, key); d.Kind != dedup.Send {
			return nil, StateError("a request key was refused")
		}
		t.Finish(time.Hour, key.Key, key.Token, dedup.Outcome{Kind: dedup.Answered, Status: 200, Body: make([]byte, answerBytes)})
	}
	return t, nil
}

// announcements returns a registry with announced executors.
func announcements(count int) (any, error) {
	r := registry.New(registry.Config{MaxEntries: 4096, MaxPayloadBytes: 1024, MaxTTL: 3 * time.Second, TombstoneRetention: 5 * time.Minute})
	for i := range count {
		payload, err := msgpack.Marshal(backend(i))
		if err != nil {
			return nil, &SetupError{Step: "announcement", Cause: err}
		}
		entry := registry.Entry{ID: backend(i).ID, Incarnation: 1, Sequence: 1, State: registry.Up, TTL: 3 * time.Second, Payload: payload}
		if r.Merge(0, []registry.Entry{entry}).Applied != 1 {
			return nil, StateError("an announcement was refused")
		}
	}
	return r, nil
}

// backend returns an executor of the measured domain.
func backend(i int) *structs.Backend {
	return &structs.Backend{
		ID:          measuredDomain + "-executor-" + decimal(i),
		Service:     serviceName,
		Domain:      measuredDomain,
		Address:     "127.0.0.1:9",
		Slots:       8,
		Connections: 64,
		State:       structs.BackendUp,
		Incarnation: 1 << 60,
	}
}
