package node

import (
	"cmp"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func drawStatus(t *rapid.T) hostStatus {
	status := hostStatus{ConfigVersion: rapid.Uint64Range(1, 3).Draw(t, "version"), Stopping: rapid.Bool().Draw(t, "stopping")}
	status.ConfigDigest = string(rune('a' + status.ConfigVersion))
	for _, name := range []string{"config", "domain/one"} {
		if rapid.IntRange(0, 4).Draw(t, "member") > 0 {
			status.Groups = append(status.Groups, groupView{Name: name, Term: rapid.Uint64Range(1, 3).Draw(t, "term"), Leader: "a"})
		}
	}
	for _, name := range []string{"desk", "planner"} {
		if rapid.IntRange(0, 4).Draw(t, "offered") > 0 {
			load := serviceStatus{Service: name, Queued: rapid.IntRange(0, 2).Draw(t, "queued")}
			load.WaitEstimates = []waitEstimate{{Class: "urgent", Wait: time.Duration(rapid.IntRange(0, 2).Draw(t, "wait"))}}
			status.Services = append(status.Services, load)
		}
	}
	return status
}

func encodeAndDecode(g *WithT, m statusMessage) statusMessage {
	body, err := encodeMessage(&m)
	g.Expect(err).NotTo(HaveOccurred())
	var received statusMessage
	g.Expect(decodeMessage("host status", body, &received)).To(Succeed())
	return received
}

// sorted returns a status with sorted lists, because their order has no meaning.
func sorted(s hostStatus) hostStatus {
	s.Groups, s.Services = slices.Clone(s.Groups), slices.Clone(s.Services)
	slices.SortFunc(s.Groups, func(a, b groupView) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b serviceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// Guards against a status that stays wrong after lost messages, lost replies and
// restarts of the sender, or that counts as fresh while it is wrong.
func TestStatusIsCorrectAfterEachAppliedMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		source, peer, now := newStatusSource(), &host{}, time.Duration(0)
		current := drawStatus(t)
		exchange := func(lost, replyLost bool) {
			message := encodeAndDecode(g, source.next(now, current))
			if lost || peer.apply(now, message) || replyLost {
				return
			}
			g.Expect(peer.apply(now, encodeAndDecode(g, source.full()))).To(BeTrue())
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += hostStatusInterval
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				current = drawStatus(t)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				source = newStatusSource()
			}
			exchange(rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "reply lost"))
			if peer.seen && peer.received == now {
				g.Expect(sorted(peer.status)).To(BeComparableTo(sorted(current)))
			}
		}
		now += hostStatusInterval
		exchange(false, false)
		g.Expect(peer.received).To(Equal(now))
		g.Expect(sorted(peer.status)).To(BeComparableTo(sorted(current)))
	})
}

// Guards against hosts that send their full status when nothing changed, which
// accounted for two thirds of the bytes sent in an idle deployment.
func TestUnchangedStatusTakesFewBytes(t *testing.T) {
	g := NewWithT(t)
	source := newStatusSource()
	status := hostStatus{ConfigVersion: 300, ConfigDigest: "a digest of more than twenty bytes", Groups: []groupView{{Name: "config", Term: 1}}}
	g.Expect(source.next(0, status).Full).To(BeTrue())
	message := source.next(hostStatusInterval, status)
	body, err := encodeMessage(&message)
	g.Expect(err).NotTo(HaveOccurred())
	const maxBytes = 24
	g.Expect(len(body)).To(BeNumerically("<=", maxBytes))
	g.Expect(source.next(fullStatusInterval, status).Full).To(BeTrue())
}
