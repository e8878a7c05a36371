package returns

import (
	"time"

	"cranberrydrum.dev/scheduler/structs"
)

// Executors of all patterns: 10 with 4 slots and 0.1 s of service serve 400 requests a
// second. The usual load is 0.7 of that.
const (
	executors        = 10
	slots            = 4
	service          = 100 * time.Millisecond
	usualRate        = 280
	burstFrom        = 5 * time.Second
	burstTo          = 11 * time.Second
	shortLateFor     = 3 * time.Second
	longLateFor      = 15 * time.Second
	defaultObjective = 1 * time.Second
)

func stream(customer string, lateFor time.Duration, rates ...Rate) Stream {
	return Stream{
		Request:   structs.Request{Customer: customer, Class: structs.ClassNormal},
		Objective: defaultObjective, LateFor: lateFor, Deadline: defaultObjective, Rates: rates,
	}
}

func pattern(name string, end time.Duration, streams ...Stream) Pattern {
	return Pattern{Name: name, Executors: executors, Slots: slots, Service: service, End: end, Streams: streams}
}

// Burst is a load of twice the capacity for 6 s.
func Burst(lateFor time.Duration) Pattern {
	return pattern("burst of one class over the capacity for 6 s, late window "+lateFor.String(), 40*time.Second,
		stream("a", lateFor, Rate{0, usualRate}, Rate{burstFrom, 800}, Rate{burstTo, usualRate}))
}

// SmallQueue is a Burst on a host that queues at most 100 requests.
func SmallQueue() Pattern {
	p := Burst(shortLateFor)
	p.Name = "the same with a queue of 100 requests"
	p.MaxQueued = 100
	return p
}

// LongOverload is a load of 1.5 times the capacity that does not end.
func LongOverload() Pattern {
	return pattern("1.5 times the capacity for 55 s", 60*time.Second, stream("a", shortLateFor, Rate{0, usualRate}, Rate{burstFrom, 600}))
}

// AboveShare is a load of one customer of 3 times the capacity, beside one that stays
// below its share.
func AboveShare() Pattern {
	return pattern("customer far above its share; another one below", 30*time.Second,
		stream("a", shortLateFor, Rate{0, 100}, Rate{burstFrom, 1200}, Rate{20 * time.Second, 100}),
		stream("b", shortLateFor, Rate{0, 150}))
}

// Impatient is AboveShare with callers that ignore what they are told.
func Impatient() Pattern {
	p := AboveShare()
	p.Name = "the same, its callers return after 0.5 s whatever they are told"
	p.Streams[0].Impatient = true
	return p
}

// NoExecutor is a time without executors.
func NoExecutor(length, lateFor time.Duration) Pattern {
	p := pattern("no executor for "+length.String()+", late window "+lateFor.String(), 60*time.Second, stream("a", lateFor, Rate{0, usualRate}))
	p.Outage = Outage{From: burstFrom, To: burstFrom + length}
	return p
}

// SameSecond is the return of 2000 callers within 0.1 s, as after an outage of what
// lies before this host.
func SameSecond() Pattern {
	return pattern("2000 callers at once after an outage", 40*time.Second,
		stream("a", 9*time.Second, Rate{0, usualRate}, Rate{burstFrom, 20000}, Rate{burstFrom + 100*time.Millisecond, usualRate}))
}

// Hopeless is a Burst beside callers whose deadline is shorter than the service.
func Hopeless() Pattern {
	p := Burst(shortLateFor)
	p.Name = "burst, beside work whose objective and late window are lost"
	lost := stream("a", 0, Rate{burstFrom, 200}, Rate{burstTo, 0})
	lost.Objective = service / 2
	p.Streams = append(p.Streams, lost)
	return p
}

// All returns all patterns.
func All() []Pattern {
	return []Pattern{
		Burst(shortLateFor), Burst(longLateFor), SmallQueue(), LongOverload(), AboveShare(), Impatient(),
		NoExecutor(2*time.Second, shortLateFor), NoExecutor(4*time.Second, shortLateFor), NoExecutor(4*time.Second, longLateFor),
		NoExecutor(20*time.Second, longLateFor), SameSecond(), Hopeless(),
	}
}
