package upstream_test

import (
	"bytes"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/upstream"
)

var _ = Describe("an executor that takes no new requests", func() {
	// Guards against requests to an executor that left after it was chosen: the process may be
	// suspended while it opens a connection or prepares the request.
	DescribeTable("gets none", func(fresh bool) {
		e, p := newExecutor(), newPool()
		var left atomic.Bool
		next := attempt(e.Address(), 0, func(a *upstream.Attempt) {
			a.Fresh = fresh
			a.MayStart = func() bool { return !left.Load() }
		})
		_, err := p.Do(next)
		Expect(err).NotTo(HaveOccurred())
		left.Store(true)
		_, err = p.Do(next)
		Expect(kindOf(err)).To(Equal(upstream.KindNotSent))
		Expect(e.Stats().Requests).To(Equal(1))
	},
		Entry("on an open connection", false),
		Entry("on a new connection", true),
	)

	// Guards against a request that is cut off in the middle, so that it may have run.
	It("still gets the rest of a request that it has begun to receive", func() {
		e, p := newExecutor(), newPool()
		body := bytes.Repeat([]byte("b"), 1<<20)
		for range 3 {
			var asked atomic.Int32
			response, err := p.Do(attempt(e.Address(), 0, func(a *upstream.Attempt) {
				a.Body = body
				a.MayStart = func() bool { return asked.Add(1) == 1 }
			}))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body).To(Equal(body))
			Expect(asked.Load()).To(BeEquivalentTo(1))
		}
	})
})
