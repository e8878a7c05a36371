package node

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/upstream"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
)

// newKeyOwnerNode returns a host that serves service s and owns the keys of its requests.
func newKeyOwnerNode(t *testing.T) (n *Node, s *service, release chan struct{}) {
	g := NewWithT(t)
	n, s, release = newServingNode(t)
	m, owner, _ := newOwnerNode(t, "a")
	g.Expect(m.config.install(1, rules.Digest([]byte(serviceTestRules)), []byte(serviceTestRules))).To(Succeed())
	g.Eventually(func() (version uint64) {
		_ = m.readAsOwner("d", func(time.Duration, *domainOwner) error { version = owner.state.KeyPolicyVersion(); return nil })
		return version
	}, "5s").Should(Equal(uint64(1)))
	n.groups, n.hostedDomains, n.handlers = m.groups, m.hostedDomains, n.allHandlers()
	g.Eventually(func() error { _, err := s.call(serviceCall("x")); return err }, "5s").Should(Succeed())
	return n, s, release
}

func keyedCall() Call {
	c := serviceCall("x")
	c.Request.NonIdempotent, c.Request.Key = true, "k"
	return c
}

// sendInBackground returns the channel that receives the result of f.
func sendInBackground(f func() (*upstream.Response, error)) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := f()
		done <- err
	}()
	return done
}

// Guards against a resend that is refused as not run for want of room in the queue while
// the request that it repeats waits there and runs later.
func TestResendIsNotRefusedWhileTheRequestWaits(t *testing.T) {
	g := NewWithT(t)
	n, s, release := newKeyOwnerNode(t)
	load := func() [2]int {
		snapshot := s.publishedSnapshot()
		return [2]int{snapshot.Running, snapshot.Queued[structs.ClassNormal]}
	}
	g.Eventually(func() int {
		executors := s.publishedSnapshot().Executors
		return executors[0].Limit
	}, "15s").Should(Equal(4), "all slots, after the wait of a restarted host")
	hold := func() { go func() { _, _ = s.call(serviceCall("hold")) }() }
	for range 4 {
		hold()
	}
	g.Eventually(load, "5s").Should(Equal([2]int{4, 0}))
	first := sendInBackground(func() (*upstream.Response, error) { return n.serveKeyed(keyedCall()) })
	g.Eventually(load, "5s").Should(Equal([2]int{4, 1}))
	for range 9 {
		hold()
	}
	g.Eventually(load, "5s").Should(Equal([2]int{4, 10}))
	resent := sendInBackground(func() (*upstream.Response, error) { return n.serveKeyed(keyedCall()) })
	g.Consistently(resent, "100ms").ShouldNot(Receive())
	close(release)
	g.Eventually(first, "5s").Should(Receive(BeNil()))
	g.Eventually(resent, "5s").Should(Receive(BeNil()), "the answer to the request that it repeats")
}

// Guards against a resend that is refused as not run while an attempt of the request,
// which was refused in time, still waits until its key is durable and is then sent.
func TestResendWaitsForAnAttemptThatOutlivesItsRequest(t *testing.T) {
	g := NewWithT(t)
	n, _, _ := newKeyOwnerNode(t)
	key := storedKey(keyedCall().Request)
	refusalOf := func(remaining time.Duration) *structs.Refusal {
		resend := keyedCall()
		resend.Request.Remaining = remaining
		_, err := n.serveKeyed(resend)
		var refusal *structs.Refusal
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		return refusal
	}
	n.keyedSends.hold(key)
	g.Expect(refusalOf(50 * time.Millisecond).Outcome).To(Equal(structs.OutcomeUnknown))
	domains := n.hostedDomains
	n.hostedDomains = nil
	g.Expect(refusalOf(time.Minute).Outcome).To(Equal(structs.OutcomeUnknown), "another host owns the key")
	n.hostedDomains = domains
	n.keyedSends.release(key)
	_, err := n.serveKeyed(keyedCall())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return n.keyedSends.tryBegin(key) }, "5s").Should(BeTrue(), "nothing holds the key")
	_, err = n.serveKeyed(keyedCall())
	g.Expect(err).NotTo(HaveOccurred(), "the recorded response")
}
