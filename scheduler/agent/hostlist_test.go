package agent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/agent"
)

var _ = Describe("the list of hosts", func() {
	var list *agent.HostList

	BeforeEach(func() { list = agent.NewHostList([]string{"a", "b"}, 1) })

	// Guards against renewals that go on through an entry host, and against a
	// worker that is left without a host when the named owner is gone.
	It("tries the named owner first and the entry hosts after it", func() {
		Expect(list.Order()).To(Equal([]string{"b", "a"}))
		list.Answered(0, "b", "o")
		Expect(list.Order()).To(Equal([]string{"o", "b", "a"}))
		list.Answered(0, "o", "")
		Expect(list.Order()).To(Equal([]string{"o", "b", "a"}))
		list.Answered(0, "o", "a")
		Expect(list.Order()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a worker that pays a timeout for each renewal because
	// other hosts still name an owner that it cannot reach.
	It("passes over an owner that failed for 30 s", func() {
		list.Answered(0, "b", "o")
		list.Failed(time.Second, "o")
		list.Answered(2*time.Second, "b", "o")
		Expect(list.Order()).To(Equal([]string{"b", "a"}))
		list.Answered(2*time.Second, "b", "p")
		Expect(list.Order()).To(Equal([]string{"p", "b", "a"}))
		list.Answered(31*time.Second, "b", "o")
		Expect(list.Order()).To(Equal([]string{"o", "b", "a"}))
	})

	// Guards against an owner that is kept although an entry host, which does
	// not name it, has answered in its place.
	It("drops the owner when an entry host answers without one", func() {
		list.Answered(0, "b", "o")
		list.Answered(0, "a", "")
		Expect(list.Order()).To(Equal([]string{"a", "b"}))
	})
})
