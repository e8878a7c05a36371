package serving_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// Guards against a host that refuses every non-idempotent request of a customer
// after a pause, because the attempts in progress measured the pause as their
// service time. Refused requests give no measurements, so it would go on for ever.
var _ = ginkgo.Describe("After a pause of the host, the Dispatcher", func() {
	ginkgo.DescribeTable("serves non-idempotent requests again",
		func(pause time.Duration) {
			const slots, callers, work = 8, 8, 15 * time.Millisecond
			f := newFixture(1, slots, nil)
			charge := structs.Request{Customer: "a", Class: structs.ClassNormal, NonIdempotent: true, Remaining: 4 * time.Second}
			f.warmUp(charge, work, 100)
			var inFlight []serving.Send
			for range callers {
				_, effects := f.arrive(charge)
				inFlight = append(inFlight, effectsOf[serving.Send](effects)...)
			}
			gomega.Expect(inFlight).To(gomega.HaveLen(callers))
			f.now += pause
			for _, send := range inFlight {
				f.finish(send, serving.ResultOK, pause)
			}
			answered := 0
			const arrivals = 200
			for range arrivals {
				_, effects := f.arrive(charge)
				f.now += work
				for _, send := range effectsOf[serving.Send](effects) {
					answered += len(effectsOf[serving.Answer](f.finish(send, serving.ResultOK, work)))
				}
				f.now += 5 * time.Millisecond
			}
			gomega.Expect(answered).To(gomega.BeNumerically(">", arrivals*9/10))
		},
		ginkgo.Entry("of 2.5 s, which their deadline allows", 2500*time.Millisecond),
		ginkgo.Entry("of 3.6 s, which is about their deadline", 3600*time.Millisecond),
	)
})
