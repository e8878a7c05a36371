package control

import (
	"os"
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/storage"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/structs"
)

// recoveryWorkers are sizes of a failure domain; 910 workers in 4 failure
// domains are 228 in each, and 910 stands for a deployment of one.
var recoveryWorkers = []int{50, 228, 910}

const (
	// tasksAtTarget is 16,000 tasks on 910 workers.
	tasksAtTarget = 18
	// loggedTail is the number of entries after which a snapshot is due.
	loggedTail = snapshotEntries
	storeName  = "measured"
)

// recoveryCost is what restarting with the state of a domain takes.
type recoveryCost struct{ snapshotBytes, encode, save, load, apply float64 }

func measureRecovery(o Options) ([]Row, error) {
	var costs []recoveryCost
	sizes := o.sizes(recoveryWorkers)
	for _, workers := range sizes {
		cost, err := recovery(workers)
		if err != nil {
			return nil, err
		}
		costs = append(costs, cost)
	}
	row := func(quantity, unit string, value func(recoveryCost) float64) Row {
		r := Row{Quantity: quantity, Unit: unit, Against: "workers with 18 tasks each"}
		for i, c := range costs {
			r.Points = append(r.Points, Point{float64(sizes[i]), value(c)})
		}
		return r
	}
	rows, err := keySnapshotRows(o)
	return append(rows,
		row("snapshot of a domain", "B", func(c recoveryCost) float64 { return c.snapshotBytes }),
		row("time to encode a snapshot on the goroutine of the log", "ms", func(c recoveryCost) float64 { return c.encode }),
		row("time to write and sync a snapshot", "ms", func(c recoveryCost) float64 { return c.save }),
		row("restart: open the folder and restore the snapshot", "ms", func(c recoveryCost) float64 { return c.load }),
		row("restart: apply 4096 entries of the log", "ms", func(c recoveryCost) float64 { return c.apply }),
	), err
}

// snapshotKeys are numbers of request keys; the example rules allow 200,000.
var snapshotKeys = []int{10_000, 50_000, 200_000}

// keySnapshotRows measures the part of a snapshot that holds request keys. It
// is encoded on the goroutine of the log, which sends no heartbeats meanwhile.
func keySnapshotRows(o Options) ([]Row, error) {
	bytes := Row{Quantity: "snapshot of request keys", Unit: "B", Against: "keys"}
	encode := Row{Quantity: "time to encode request keys on the goroutine of the log", Unit: "ms", Against: "keys"}
	decode := Row{Quantity: "restart: restore request keys", Unit: "ms", Against: "keys"}
	for _, keys := range o.sizes(snapshotKeys) {
		table, err := keyTable(keys)
		if err != nil {
			return nil, err
		}
		start := time.Now()
		data, err := table.Snapshot()
		if err != nil {
			return nil, err
		}
		size := float64(keys)
		encode.Points = append(encode.Points, Point{size, millis(start)})
		bytes.Points = append(bytes.Points, Point{size, float64(len(data))})
		start = time.Now()
		if err := table.Restore(data); err != nil {
			return nil, err
		}
		decode.Points = append(decode.Points, Point{size, millis(start)})
	}
	return []Row{bytes, encode, decode}, nil
}

func millis(start time.Time) float64 { return float64(time.Since(start).Microseconds()) / 1000 }

func recovery(workers int) (recoveryCost, error) {
	var c recoveryCost
	o, err := filledOwner(workers, tasksAtTarget)
	if err != nil {
		return c, err
	}
	folder, err := os.MkdirTemp("", "cranberrydrum-bench-")
	if err != nil {
		return c, &SetupError{What: "temporary folder", Cause: err}
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := c.write(o, folder); err != nil {
		return c, err
	}
	return c, c.restart(folder)
}

// write stores a snapshot and the entries that follow it.
func (c *recoveryCost) write(o *owner, folder string) error {
	start := time.Now()
	data, err := o.state.Snapshot()
	if err != nil {
		return err
	}
	c.encode, c.snapshotBytes = millis(start), float64(len(data))
	disk, err := storage.Open(folder, storage.Options{StoreID: storeName})
	if err != nil {
		return err
	}
	defer func() { _ = disk.Close() }()
	start = time.Now()
	meta := raft.SnapshotMeta{Index: 1, Term: 1, Membership: raft.Membership{Voters: []string{hostName(0)}}}
	if err := disk.SaveSnapshot(meta, data); err != nil {
		return err
	}
	c.save = millis(start)
	entries, err := tailOf(o)
	if err != nil {
		return err
	}
	return disk.Save(raft.HardState{Term: 1, Commit: loggedTail + 1}, entries)
}

// tailOf returns entries of ordinary changes: a job is submitted and cancelled.
func tailOf(o *owner) ([]raft.Entry, error) {
	var entries []raft.Entry
	for i := range loggedTail {
		var body jobs.Body = &jobs.Submit{Spec: o.spec(accelerators)}
		if i%2 == 1 {
			body = &jobs.ReportTasks{Reports: []jobs.MemberReport{{Worker: o.workers[0].ID, Job: measuredJob, Phase: structs.TaskSucceeded}}}
		}
		data, err := domain.EncodeJobs(jobs.Command{Body: body})
		if err != nil {
			return nil, err
		}
		entries = append(entries, raft.Entry{Index: uint64(i + 2), Term: 1, Data: data})
	}
	return entries, nil
}

// restart loads the folder as a starting host does.
func (c *recoveryCost) restart(folder string) error {
	start := time.Now()
	disk, err := storage.Open(folder, storage.Options{StoreID: storeName})
	if err != nil {
		return err
	}
	defer func() { _ = disk.Close() }()
	restored, data, err := disk.Load()
	if err != nil {
		return err
	}
	state := domain.New()
	if err := state.Restore(data); err != nil {
		return err
	}
	c.load = millis(start)
	if len(restored.Entries) != loggedTail {
		return StateError("the log was not read back in whole")
	}
	start = time.Now()
	for _, e := range restored.Entries {
		state.Apply(e.Index, e.Term, e.Data)
	}
	c.apply = millis(start)
	return nil
}
