package control

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
)

// renewingCounts are the numbers of workers that renew with the measured process.
var renewingCounts = []int{0, 50, 150, 300}

const (
	// ticksPerSecond is the unit of CPU times in /proc/PID/stat on Linux.
	ticksPerSecond = 100
	renewTimeout   = 2 * time.Second
	// userTimeField is the index of the user time in /proc/PID/stat, counted from the
	// field after the command. statmResident is the index of the resident pages in
	// /proc/PID/statm, which has no command.
	userTimeField = 11
	statmResident = 1
	bytesPerMB    = 1 << 20
	renewInterval = time.Second
	// holdDuration is the time for which the owner may hold the response.
	holdDuration     = renewInterval * 9 / 10
	registrationTime = 4 * time.Second
)

// measureProcess measures a running daemon while simulated workers renew with it. The
// daemon must have a configuration in force.
func measureProcess(o Options) ([]Row, error) {
	if o.Process.ID == 0 || len(o.Process.Servers) == 0 {
		return nil, StateError("part process needs the process id, servers, token and failure domain of a running daemon")
	}
	memory := Row{Quantity: "cranberrydrumd: resident memory", Unit: "MB", Against: "workers renewing"}
	cpu := Row{Quantity: "cranberrydrumd: CPU", Unit: "% of a core", Against: "workers renewing"}
	failed := Row{Quantity: "renewals without an answer", Unit: "1", Against: "workers renewing"}
	for _, workers := range renewingCounts {
		u, err := observeProcess(o, workers)
		if err != nil {
			return nil, err
		}
		size := float64(workers)
		memory.Points = append(memory.Points, Point{size, u.megabytes})
		cpu.Points = append(cpu.Points, Point{size, u.cpuPercent})
		failed.Points = append(failed.Points, Point{size, float64(u.failed)})
	}
	return []Row{memory, cpu, failed}, nil
}

// processUsage is the resident memory and CPU of a process, and the failed renewals.
type processUsage struct {
	megabytes, cpuPercent float64
	failed                int64
}

// observeProcess measures the process while a number of workers renew. Renewals that
// fail while the workers register are not counted.
func observeProcess(o Options, workers int) (processUsage, error) {
	var failed atomic.Int64
	stop := make(chan struct{})
	client := &fasthttp.Client{ReadTimeout: renewTimeout, WriteTimeout: renewTimeout}
	for i := range workers {
		go renewLoop(o.Process, client, i, workers, stop, &failed)
	}
	defer close(stop)
	time.Sleep(o.seconds(registrationTime, registrationTime/2))
	failed.Store(0)
	before, err := cpuSeconds(o.Process.ID)
	if err != nil {
		return processUsage{}, err
	}
	start := time.Now()
	time.Sleep(o.seconds(15*time.Second, time.Second))
	after, err := cpuSeconds(o.Process.ID)
	if err != nil {
		return processUsage{}, err
	}
	use := processUsage{cpuPercent: 100 * (after - before) / time.Since(start).Seconds(), failed: failed.Load()}
	use.megabytes, err = residentMB(o.Process.ID)
	return use, err
}

// renewLoop renews the lease of one worker every second. The first renewals of the
// workers are spread evenly over the interval.
func renewLoop(p Process, client *fasthttp.Client, i, workers int, stop chan struct{}, failed *atomic.Int64) {
	time.Sleep(renewInterval * time.Duration(i) / time.Duration(workers))
	w := worker(i, accelerators)
	w.Domain = p.Domain
	w.ID = p.Domain + "-bench-" + decimal(i)
	report := structs.WorkerReport{Worker: w, Incarnation: uint64(time.Now().UnixNano())}
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if !renewOnce(client, p.Servers[i%len(p.Servers)], p.Token, report) {
			failed.Add(1)
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// renewOnce sends one renewal and reports whether it succeeded.
func renewOnce(client *fasthttp.Client, server, token string, report structs.WorkerReport) bool {
	body, err := json.Marshal(&report)
	if err != nil {
		return false
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + server + "/v1/workers/renew")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(api.HeaderWait, strconv.FormatInt(holdDuration.Milliseconds(), 10))
	request.SetBody(body)
	err = client.DoTimeout(request, response, renewTimeout)
	return err == nil && response.StatusCode() == fasthttp.StatusOK
}

// procFields returns the fields of a file in /proc/PID after the command, if the file
// has one.
func procFields(pid int, file string) ([]string, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/" + file)
	if err != nil {
		return nil, &SetupError{Step: "process " + strconv.Itoa(pid), Cause: err}
	}
	text := string(data)
	text = text[strings.LastIndexByte(text, ')')+1:]
	return strings.Fields(text), nil
}

// cpuSeconds returns the CPU time of a process in seconds.
func cpuSeconds(pid int) (float64, error) {
	fields, err := procFields(pid, "stat")
	if err != nil {
		return 0, err
	}
	if len(fields) <= userTimeField+1 {
		return 0, StateError("the measured process has too few fields in /proc/PID/stat for its CPU times")
	}
	user, _ := strconv.ParseFloat(fields[userTimeField], 64)
	system, _ := strconv.ParseFloat(fields[userTimeField+1], 64)
	return (user + system) / ticksPerSecond, nil
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) (float64, error) {
	fields, err := procFields(pid, "statm")
	if err != nil {
		return 0, err
	}
	if len(fields) <= statmResident {
		return 0, StateError("the measured process has too few fields in /proc/PID/statm for its resident memory")
	}
	pages, _ := strconv.ParseFloat(fields[statmResident], 64)
	return pages * float64(os.Getpagesize()) / bytesPerMB, nil
}
