package entry_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"net"
	"strconv"

	"cranberrydrum.dev/daemon/clock"
	"cranberrydrum.dev/daemon/control"
	"cranberrydrum.dev/daemon/entry"
	"cranberrydrum.dev/daemon/loopback"
	"cranberrydrum.dev/daemon/transport"
	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/structs"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

const (
	controlHost = "127.0.0.2"
	entryHost   = "127.0.0.3"
)

// fakeControl serves calls as the leader of the control hosts.
type fakeControl struct {
	leaderPolls atomic.Int64
	requests    atomic.Int64
	answer      func(attempt int64) error
}

func (f *fakeControl) HandleMessage(string, transport.Kind, []byte) {}

func (f *fakeControl) HandleCall(_, method string, _ []byte, _ time.Duration) ([]byte, error) {
	if method == control.MethodHello {
		f.leaderPolls.Add(1)
		return msgpack.Marshal(&control.Hello{Leader: controlHost, Hosts: []string{controlHost}})
	}
	if f.answer != nil {
		if err := f.answer(f.requests.Add(1)); err != nil {
			return nil, err
		}
	}
	return msgpack.Marshal(&admission.Reply{})
}

type discardObserver struct{}

func (discardObserver) Attempt(string, string, time.Duration) {}

var _ = Describe("an entry host", func() {
	var fake *fakeControl
	var node *entry.Node

	BeforeEach(func() {
		address, err := loopback.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		_, text, _ := net.SplitHostPort(address)
		port, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred())
		fake = &fakeControl{}
		peer := transport.New(transport.Config{Host: controlHost, Listen: net.JoinHostPort(controlHost, text), Logger: logr.Discard()}, fake)
		Expect(peer.Start()).To(Succeed())
		DeferCleanup(peer.Close)
		node = entry.New(entry.Config{
			Host: entryHost, PeerPort: port, Seeds: func() []string { return []string{controlHost} }, Logger: logr.Discard(), Observer: discardObserver{},
		})
		Expect(node.Start()).To(Succeed())
		DeferCleanup(node.Stop)
		Eventually(node.Ready, 5*time.Second, 20*time.Millisecond).Should(BeTrue())
	})

	// Guards against a draining host that becomes ready again with its next leader
	// poll and gets new connections.
	It("is not ready again after Drain", func() {
		node.Drain(clock.Boot() + time.Minute)
		seen := fake.leaderPolls.Load()
		Eventually(fake.leaderPolls.Load, 5*time.Second, 20*time.Millisecond).Should(BeNumerically(">", seen+1))
		Expect(node.Ready()).To(BeFalse())
	})

	// Guards against a stopping host that exits before a request has its answer.
	It("ends its requests by the end of the drain", func() {
		fake.answer = func(int64) error { return structs.RefuseNotRun(structs.CodeQuorumUnavailable, "no quorum") }
		const drainTime = 500 * time.Millisecond
		startedAt := clock.Boot()
		time.AfterFunc(drainTime/5, func() { node.Drain(startedAt + drainTime) })
		_, err := node.Do(&admission.Request{Operation: admission.OpSubmit}, time.Minute)
		Expect(clock.Boot() - startedAt).To(BeNumerically("<", 2*drainTime))
		var refused *structs.Refusal
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Code).To(Equal(structs.CodeQuorumUnavailable))
		Expect(refused.Outcome).To(Equal(structs.OutcomeNotRun))
		_, err = node.Do(&admission.Request{Operation: admission.OpSubmit}, time.Minute)
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Code).To(Equal(structs.CodeStopping))
		Expect(refused.Outcome).To(Equal(structs.OutcomeNotRun))
	})

	// Guards against callers that send work again that can never run, and against
	// refusals without a time after which the request may succeed.
	DescribeTable("tells when to return", func(code structs.Code, expected time.Duration) {
		fake.answer = func(int64) error { return structs.RefuseNotRun(code, "") }
		_, err := node.Do(&admission.Request{Operation: admission.OpSubmit}, 3*time.Second)
		var refused *structs.Refusal
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.RetryAfter).To(Equal(expected))
		Expect(fake.requests.Load()).To(Equal(int64(1)))
	},
		Entry("never", structs.CodeNeverRunnable, time.Duration(0)),
		Entry("later", structs.CodeNoConfig, control.DefaultRetryAfter),
	)

	// Guards against requests that fail while another leader is elected.
	It("retries if the attempt certainly has not run", func() {
		fake.answer = func(attempt int64) error {
			if attempt == 1 {
				return structs.RefuseNotRun(structs.CodeNotLeader, "")
			}
			return nil
		}
		_, err := node.Do(&admission.Request{Operation: admission.OpSubmit}, 3*time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a refusal with the outcome "not run" although an earlier attempt
	// may have been committed.
	It("does not refuse a request as not run after an attempt with an unknown outcome", func() {
		fake.answer = func(attempt int64) error {
			if attempt == 1 {
				return structs.RefuseUnknown(structs.CodeQuorumUnavailable, "not confirmed in time")
			}
			return structs.RefuseNotRun(structs.CodeNotFound, "no queue at this place")
		}
		_, err := node.Do(&admission.Request{Operation: admission.OpSubmit}, 3*time.Second)
		var refused *structs.Refusal
		Expect(err).To(BeAssignableToTypeOf(refused))
		Expect(err.(*structs.Refusal).Outcome).NotTo(Equal(structs.OutcomeNotRun))
	})

	// Guards against reads that are refused with an unknown outcome. A read changes no
	// state.
	It("refuses a read as not run although the reply to an earlier attempt was lost", func() {
		fake.answer = func(attempt int64) error {
			if attempt == 1 {
				return structs.RefuseUnknown(structs.CodeOutcomeUnknown, "no answer")
			}
			return structs.RefuseNotRun(structs.CodeNotFound, "no queue at this place")
		}
		_, err := node.Do(&admission.Request{Operation: admission.OpRead}, 3*time.Second)
		Expect(err.(*structs.Refusal).Code).To(Equal(structs.CodeNotFound))
		Expect(err.(*structs.Refusal).Outcome).To(Equal(structs.OutcomeNotRun))
	})

	// Guards against retries until the timeout although the refusal cannot change.
	It("returns a final refusal without a retry", func() {
		fake.answer = func(int64) error { return structs.RefuseNotRun(structs.CodeUnauthorized, "unknown key") }
		startedAt := time.Now()
		_, err := node.Do(&admission.Request{Operation: admission.OpRead}, 3*time.Second)
		Expect(err.(*structs.Refusal).Code).To(Equal(structs.CodeUnauthorized))
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	})
})
