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

// recoveryWorkers are the numbers of workers in a failure domain. 910 workers in 4
// failure domains are 228 in each. A deployment of a single failure domain has all
// 910 in it.
var recoveryWorkers = []int{50, 228, 910}

const (
	// targetTasksPerWorker is 16,000 tasks on 910 workers, rounded up.
	targetTasksPerWorker = 18
	// tailLength is the number of log entries after the snapshot: the most that
	// accumulate before the next snapshot is due.
	tailLength = snapshotEntries
	storeName  = "measured"
)

// recoveryCost is the size of a snapshot of a domain and the times in milliseconds to
// save and to restore the state.
type recoveryCost struct{ snapshotBytes, encodeMS, saveMS, loadMS, applyMS float64 }

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
		row("time to encode a snapshot on the goroutine of the log", "ms", func(c recoveryCost) float64 { return c.encodeMS }),
		row("time to write and sync a snapshot", "ms", func(c recoveryCost) float64 { return c.saveMS }),
		row("restart: open the folder and restore the snapshot", "ms", func(c recoveryCost) float64 { return c.loadMS }),
		row("restart: apply 4096 entries of the log", "ms", func(c recoveryCost) float64 { return c.applyMS }),
	), err
}

// snapshotKeys are the numbers of request keys. The example rules allow 200,000.
var snapshotKeys = []int{10_000, 50_000, 200_000}

// keySnapshotRows measures the request keys of a snapshot. The goroutine of the log
// encodes them and sends no heartbeats during that time.
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

// millis returns the milliseconds since a time.
func millis(start time.Time) float64 { return float64(time.Since(start).Microseconds()) / 1000 }

// recovery measures the recovery of a failure domain with a number of workers.
func recovery(workers int) (recoveryCost, error) {
	var c recoveryCost
	o, err := filledOwner(workers, targetTasksPerWorker)
	if err != nil {
		return c, err
	}
	dir, err := os.MkdirTemp("", "cranberrydrum-bench-")
	if err != nil {
		return c, &SetupError{Step: "temporary directory", Cause: err}
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := c.measureSave(o, dir); err != nil {
		return c, err
	}
	return c, c.measureRestart(dir)
}

// measureSave saves a snapshot and the entries that follow it.
func (c *recoveryCost) measureSave(o *owner, dir string) error {
	start := time.Now()
	data, err := o.state.Snapshot()
	if err != nil {
		return err
	}
	c.encodeMS, c.snapshotBytes = millis(start), float64(len(data))
	disk, err := storage.Open(dir, storage.Options{StoreID: storeName})
	if err != nil {
		return err
	}
	defer func() { _ = disk.Close() }()
	start = time.Now()
	meta := raft.SnapshotMeta{Index: 1, Term: 1, Membership: raft.Membership{Voters: []string{hostName(0)}}}
	if err := disk.SaveSnapshot(meta, data); err != nil {
		return err
	}
	c.saveMS = millis(start)
	entries, err := tailEntries(o)
	if err != nil {
		return err
	}
	return disk.Save(raft.HardState{Term: 1, Commit: tailLength + 1}, entries)
}

// tailEntries returns the log entries after the snapshot. They alternate between the
// submission of a job and the report of a task that has succeeded.
func tailEntries(o *owner) ([]raft.Entry, error) {
	var entries []raft.Entry
	for i := range tailLength {
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

// measureRestart loads the directory and applies its entries, as a starting host does.
func (c *recoveryCost) measureRestart(dir string) error {
	start := time.Now()
	disk, err := storage.Open(dir, storage.Options{StoreID: storeName})
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
	c.loadMS = millis(start)
	if len(restored.Entries) != tailLength {
		return StateError("the restored log has the wrong number of entries")
	}
	start = time.Now()
	for _, e := range restored.Entries {
		state.Apply(e.Index, e.Term, e.Data)
	}
	c.applyMS = millis(start)
	return nil
}
