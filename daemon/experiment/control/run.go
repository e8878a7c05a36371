package control

import (
	"slices"
	"syscall"
	"time"
)

// Run makes the measurements of the selected parts one after the other.
func Run(o Options) (Table, error) {
	t := Table{Options: o}
	for _, p := range o.parts() {
		if !slices.Contains(Parts(), p) {
			return t, &UnknownPartError{Part: p}
		}
	}
	for _, p := range o.parts() {
		rows, err := measure(o, p)
		if err != nil {
			return t, err
		}
		for _, r := range rows {
			r.Part = p
			t.Rows = append(t.Rows, r)
		}
	}
	return t, nil
}

// measure runs one part.
func measure(o Options, p Part) ([]Row, error) {
	switch p {
	case PartRenewal:
		return measureRenewal(o)
	case PartLog:
		return measureLog(o)
	case PartMemory:
		return measureMemory(o)
	case PartRound:
		return measureRounds(o)
	case PartRecovery:
		return measureRecovery(o)
	case PartHosts:
		return measureHosts(o)
	case PartUrgent:
		return measureUrgent(o)
	}
	return measureProcess(o)
}

// sweep measures one quantity at several sizes.
func sweep(sizes []int, measureAt func(size int) (float64, error)) ([]Point, error) {
	var points []Point
	for _, size := range sizes {
		value, err := measureAt(size)
		if err != nil {
			return nil, err
		}
		points = append(points, Point{Size: float64(size), Value: value})
	}
	return points, nil
}

// processCPU returns the CPU time of this process, garbage collection included. Unlike
// wall time, it does not grow when the machine is busy.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuRuns is the number of runs of which cpuMicros takes the median.
const cpuRuns = 3

// cpuMicros returns the median CPU time of one operation in microseconds.
func cpuMicros(repeats int, operation func() error) (float64, error) {
	var runs []float64
	for range cpuRuns {
		start := processCPU()
		for range repeats {
			if err := operation(); err != nil {
				return 0, err
			}
		}
		used := processCPU() - start
		runs = append(runs, float64(used.Nanoseconds())/1000/float64(repeats))
	}
	return median(runs), nil
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
