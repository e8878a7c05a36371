package agent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/agent"
)

var _ = Describe("HostList", func() {
	var list *agent.HostList

	BeforeEach(func() { list = agent.NewHostList([]string{"a", "b"}, 1) })

	// Guards against renewals that keep going through an entry host, and against
	// a worker that has no host to try after the named owner has failed.
	It("tries the named owner first and the entry hosts after it", func() {
		Expect(list.Order()).To(Equal([]string{"b", "a"}))
		list.RecordResponse(0, "b", "o")
		Expect(list.Order()).To(Equal([]string{"o", "b", "a"}))
		list.RecordResponse(0, "o", "")
		Expect(list.Order()).To(Equal([]string{"o", "b", "a"}))
		list.RecordResponse(0, "o", "a")
		Expect(list.Order()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a timeout at each renewal while other hosts still name an
	// owner that the worker cannot reach.
	It("skips an owner for 30 s after it failed", func() {
		list.RecordResponse(0, "b", "o")
		list.RecordFailure(time.Second, "o")
		list.RecordResponse(2*time.Second, "b", "o")
		Expect(list.Order()).To(Equal([]string{"b", "a"}))
		list.RecordResponse(2*time.Second, "b", "p")
		Expect(list.Order()).To(Equal([]string{"p", "b", "a"}))
		list.RecordResponse(31*time.Second, "b", "o")
		Expect(list.Order()).To(Equal([]string{"o", "b", "a"}))
	})

	// Guards against keeping the address of an owner after an entry host has
	// answered without naming it.
	It("drops the owner when an entry host answers without naming it", func() {
		list.RecordResponse(0, "b", "o")
		list.RecordResponse(0, "a", "")
		Expect(list.Order()).To(Equal([]string{"a", "b"}))
	})
})
