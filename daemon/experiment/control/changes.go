package control

import (
	"strconv"
	"strings"
	"time"

	"cranberrydrum.dev/coord/dedup"
	"cranberrydrum.dev/scheduler/domain"
	"cranberrydrum.dev/scheduler/jobs"
	"cranberrydrum.dev/scheduler/structs"
)

// change is a kind of logged change. Its size depends on the size of a gang or is
// fixed.
type change struct {
	name          string
	dependsOnGang bool
	encode        func(size int) ([]byte, error)
}

const (
	measuredJob   = measuredDomain + "-123456"
	measuredClock = 30 * 24 * time.Hour
	// answerBytes is the size of the recorded response of a request key.
	answerBytes = 64
)

// gangSizes are the sizes in accelerators of gangs that use whole workers.
var gangSizes = []int{8, 64, 512}

// changes returns one change of each kind with realistic contents.
func changes() []change {
	job := func(name string, dependsOnGang bool, body func(size int) jobs.Body) change {
		return change{name: name, dependsOnGang: dependsOnGang, encode: func(size int) ([]byte, error) {
			return domain.EncodeJobs(jobs.Command{Term: 12, Clock: measuredClock, Body: body(size)})
		}}
	}
	fixed := func(name string, b jobs.Body) change {
		return job(name, false, func(int) jobs.Body { return b })
	}
	return []change{
		job("submit", true, func(size int) jobs.Body { return &jobs.Submit{Spec: submission(1, size)} }),
		job("apply plan (one start)", true, func(size int) jobs.Body {
			return &jobs.ApplyPlan{Round: 77, Starts: []jobs.PlannedStart{{Job: measuredJob, Run: 3, Members: gangMembers(size)}}}
		}),
		job("report tasks (whole gang)", true, func(size int) jobs.Body { return &jobs.ReportTasks{Reports: gangReports(size)} }),
		fixed("start gang", &jobs.StartGang{Job: measuredJob, Run: 3}),
		fixed("stop gang", &jobs.StopGang{Job: measuredJob, Run: 3}),
		fixed("cancel", &jobs.Cancel{Job: measuredJob, Customer: customerName(3)}),
		fixed("register worker", &jobs.RegisterWorker{Worker: worker(100, accelerators), Incarnation: 1 << 60}),
		fixed("remove worker", &jobs.RemoveWorker{Worker: worker(100, accelerators).ID, Grace: time.Minute}),
		fixed("worker lost", &jobs.WorkerLost{Worker: worker(100, accelerators).ID, Epoch: 123_456}),
		fixed("set quarantine", &jobs.SetQuarantine{Worker: worker(100, accelerators).ID, Quarantined: true, Strikes: 1, Until: measuredClock}),
		{name: "begin request key", encode: func(int) ([]byte, error) { return domain.EncodeBegin(measuredClock, measuredKey(1)) }},
		{name: "finish request key (answer of 64 B)", encode: func(int) ([]byte, error) {
			key := measuredKey(1)
			outcome := dedup.Outcome{Kind: dedup.Answered, Status: 200, Body: make([]byte, answerBytes)}
			return domain.EncodeFinish(measuredClock, key.Key, key.Token, outcome)
		}},
	}
}

// submission returns the specification of a job with a number of accelerators.
func submission(i, size int) structs.JobSpec {
	return structs.JobSpec{
		Name:            "weekly-build-" + strconv.Itoa(i),
		Customer:        customerName(3),
		Domain:          measuredDomain,
		Priority:        structs.PriorityNormal,
		Accelerators:    size,
		DeclaredRuntime: 6 * time.Hour,
		CheckpointTime:  30 * time.Second,
		Command:         []string{"run", "6h"},
	}
}

// gangMembers returns the members of a gang that uses whole workers.
func gangMembers(size int) []structs.Member {
	var members []structs.Member
	for i := range size / accelerators {
		members = append(members, structs.Member{Worker: worker(i, accelerators).ID, Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}})
	}
	return members
}

// gangReports returns reports of a whole gang that has succeeded.
func gangReports(size int) []jobs.MemberReport {
	var reports []jobs.MemberReport
	for _, m := range gangMembers(size) {
		reports = append(reports, jobs.MemberReport{Worker: m.Worker, Job: measuredJob, Run: 3, Phase: structs.TaskSucceeded})
	}
	return reports
}

// measuredKey returns the i-th request key, in the form that clients use.
func measuredKey(i int) dedup.Request {
	const suffix = "0123456789abcdef"
	digits := strconv.Itoa(i)
	return dedup.Request{
		Key:    dedup.NewKey(time.Hour, strings.Repeat(suffix, 2)[:32-len(digits)]+digits),
		Owner:  measuredDomain + "-1",
		Term:   12,
		Token:  measuredDomain + "-1/" + digits,
		Digest: dedup.Digest{byte(i), byte(i >> 8), byte(i >> 16)},
	}
}

// changeBytes measures the encoded size of each kind of change.
func changeBytes() ([]Row, error) {
	var rows []Row
	for _, c := range changes() {
		row := Row{Quantity: "logged change: " + c.name, Unit: "B"}
		sizes := gangSizes[:1]
		if c.dependsOnGang {
			row.Against = "accelerators of the gang"
			sizes = gangSizes
		}
		points, err := sweep(sizes, func(size int) (float64, error) {
			data, err := c.encode(size)
			return float64(len(data)), err
		})
		if err != nil {
			return nil, err
		}
		row.Points = points
		rows = append(rows, row)
	}
	return rows, nil
}
