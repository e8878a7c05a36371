package group_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/daemon/group"
	"cranberrydrum.dev/scheduler/structs"
)

// refusedOwner proposes commands once, and again those that were refused.
type refusedOwner struct{ commands [][]byte }

func (o *refusedOwner) Step(_ time.Duration, view group.View) [][]byte {
	if !view.Ready {
		return nil
	}
	commands := o.commands
	o.commands = nil
	return commands
}

func (o *refusedOwner) HandleRefused(commands [][]byte) { o.commands = append(o.commands, commands...) }

var _ = Describe("a command that is too large for the log", func() {
	tooLarge := make([]byte, 1<<20)

	// Guards against a refusal that is given to the callers of other commands, which only
	// share a batch with the refused one.
	It("is refused without the others of its batch", func() {
		n := newNetwork("a")
		_, leader := n.leader()
		release := leader.blockLoop()
		results := []chan callResult{make(chan callResult, 1), make(chan callResult, 1), make(chan callResult, 1)}
		for i, command := range [][]byte{[]byte("first"), tooLarge, []byte("last")} {
			go func() {
				result, err := leader.Propose(command, 2*time.Second)
				results[i] <- callResult{result, err}
			}()
			time.Sleep(20 * time.Millisecond)
		}
		close(release)
		var ends [3]callResult
		for i := range results {
			Eventually(results[i], 2*time.Second).Should(Receive(&ends[i]))
		}
		Expect(ends[0].err).NotTo(HaveOccurred())
		Expect(asRefusal(ends[1].err).Code).To(Equal(structs.CodeTooLarge))
		Expect(ends[2].err).NotTo(HaveOccurred())
	})

	// Guards against an owner none of whose commands is stored any more, because the first
	// one is refused again and again.
	It("does not hold back the commands of the owner behind it", func() {
		n := newNetwork()
		o := &refusedOwner{commands: [][]byte{tooLarge, []byte("next")}}
		n.owner = o
		m := n.add("a", "g", raft.Membership{Voters: []string{"a"}})
		Eventually(m.machine.count, 5*time.Second, 10*time.Millisecond).Should(Equal(uint64(1)))
		var left int
		m.RunOnLoop(func(time.Duration) { left = len(o.commands) })
		Expect(left).To(BeZero())
	})
})
