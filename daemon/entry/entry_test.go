package entry_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"net"
	"strconv"

	"cranberrydrum.dev/daemon/control"
	"cranberrydrum.dev/daemon/entry"
	"cranberrydrum.dev/daemon/loopback"
	"cranberrydrum.dev/daemon/transport"
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

// fakeControl answers as the leader of a deployment.
type fakeControl struct {
	hellos   atomic.Int64
	requests atomic.Int64
	answer   func(attempt int64) error
}

func (f *fakeControl) HandleMessage(string, transport.Kind, []byte) {}

func (f *fakeControl) HandleCall(_, method string, _ []byte, _ time.Duration) ([]byte, error) {
	if method == control.MethodHello {
		f.hellos.Add(1)
		return msgpack.Marshal(&control.Hello{Leader: controlHost, Hosts: []string{controlHost}})
	}
	if f.answer != nil {
		if err := f.answer(f.requests.Add(1)); err != nil {
			return nil, err
		}
	}
	return msgpack.Marshal(&control.CustomerReply{})
}

type discard struct{}

func (discard) Attempt(string, string, time.Duration) {}

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
			Host: entryHost, PeerPort: port, Seeds: func() []string { return []string{controlHost} }, Logger: logr.Discard(), Observer: discard{},
		})
		Expect(node.Start()).To(Succeed())
		DeferCleanup(node.Stop)
		Eventually(node.Ready, 5*time.Second, 20*time.Millisecond).Should(BeTrue())
	})

	// Guards against a stopping host that becomes ready again with its next
	// question for the leader and is given new channels.
	It("stays unready once it drains", func() {
		node.Drain()
		seen := fake.hellos.Load()
		Eventually(fake.hellos.Load, 5*time.Second, 20*time.Millisecond).Should(BeNumerically(">", seen+1))
		Expect(node.Ready()).To(BeFalse())
	})

	It("asks again where the request certainly has not run", func() {
		fake.answer = func(attempt int64) error {
			if attempt == 1 {
				return structs.NotRun(structs.CodeNotLeader, "")
			}
			return nil
		}
		_, err := node.Do(&control.CustomerRequest{Operation: control.OpSubmit}, 3*time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a refusal that says "not run" although an earlier attempt
	// may have been stored.
	It("never calls a request not run after an attempt in doubt", func() {
		fake.answer = func(attempt int64) error {
			if attempt == 1 {
				return structs.Unknown(structs.CodeQuorumUnavailable, "not confirmed in time")
			}
			return structs.NotRun(structs.CodeNotFound, "no queue at this place")
		}
		_, err := node.Do(&control.CustomerRequest{Operation: control.OpSubmit}, 3*time.Second)
		var refused *structs.Refusal
		Expect(err).To(BeAssignableToTypeOf(refused))
		Expect(err.(*structs.Refusal).Outcome).NotTo(Equal(structs.OutcomeNotRun))
	})

	// Guards against reads that are answered as if they might have run.
	It("leaves no doubt about a read whose answer was lost", func() {
		fake.answer = func(attempt int64) error {
			if attempt == 1 {
				return structs.Unknown(structs.CodeOutcomeUnknown, "no answer")
			}
			return structs.NotRun(structs.CodeNotFound, "no queue at this place")
		}
		_, err := node.Do(&control.CustomerRequest{Operation: control.OpRead}, 3*time.Second)
		Expect(err.(*structs.Refusal).Code).To(Equal(structs.CodeNotFound))
		Expect(err.(*structs.Refusal).Outcome).To(Equal(structs.OutcomeNotRun))
	})

	It("passes a final refusal on at once", func() {
		fake.answer = func(int64) error { return structs.NotRun(structs.CodeUnauthorized, "unknown key") }
		begun := time.Now()
		_, err := node.Do(&control.CustomerRequest{Operation: control.OpRead}, 3*time.Second)
		Expect(err.(*structs.Refusal).Code).To(Equal(structs.CodeUnauthorized))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})
})
