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
			load.Outlooks = []outlook{{Class: "urgent", Wait: time.Duration(rapid.IntRange(0, 2).Draw(t, "wait"))}}
			status.Services = append(status.Services, load)
		}
	}
	return status
}

func wire(g *WithT, m statusMessage) statusMessage {
	body, err := encodeMessage(&m)
	g.Expect(err).NotTo(HaveOccurred())
	var received statusMessage
	g.Expect(decodeMessage("host status", body, &received)).To(Succeed())
	return received
}

// sorted orders the lists, whose order has no meaning.
func sorted(s hostStatus) hostStatus {
	s.Groups, s.Services = slices.Clone(s.Groups), slices.Clone(s.Services)
	slices.SortFunc(s.Groups, func(a, b groupView) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Services, func(a, b serviceStatus) int { return cmp.Compare(a.Service, b.Service) })
	return s
}

// Guards against a status that stays wrong after lost messages, restarts of the
// sender and lost answers, or that is taken as fresh while it is wrong.
func TestStatusIsRightWheneverAMessageWasTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		source, peer, now := newStatusSource(), &host{}, time.Duration(0)
		current := drawStatus(t)
		exchange := func(lost, answerLost bool) {
			message := wire(g, source.next(now, current))
			if lost || peer.apply(now, message) || answerLost {
				return
			}
			g.Expect(peer.apply(now, wire(g, source.full()))).To(BeTrue())
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += hostStatusInterval
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				current = drawStatus(t)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				source = newStatusSource()
			}
			exchange(rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "answer lost"))
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

// Guards against hosts that send their whole status when nothing changed, which
// was two thirds of the bytes of an idle deployment.
func TestStatusTakesFewBytesWhileNothingChanges(t *testing.T) {
	g := NewWithT(t)
	source := newStatusSource()
	status := hostStatus{ConfigVersion: 300, ConfigDigest: "a digest of more than twenty bytes", Groups: []groupView{{Name: "config", Term: 1}}}
	g.Expect(source.next(0, status).Full).To(BeTrue())
	message := source.next(hostStatusInterval, status)
	body, err := encodeMessage(&message)
	g.Expect(err).NotTo(HaveOccurred())
	const bound = 24
	g.Expect(len(body)).To(BeNumerically("<=", bound))
	g.Expect(source.next(fullStatusInterval, status).Full).To(BeTrue())
}
