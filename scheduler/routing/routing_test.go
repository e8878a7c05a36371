package routing_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberrydrum.dev/scheduler/routing"
	"cranberrydrum.dev/scheduler/structs"
)

// TestHomeDomainIsStable guards against a home that depends on the order of the
// domains, and against keys that move although their home domain remains. Such a
// move could run a request twice.
func TestHomeDomainIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,12}(-[a-z]{1,8})?`), 2, 6, rapid.ID[string]).Draw(t, "domains")
		key := rapid.String().Draw(t, "key")
		home := routing.HomeDomain(key, domains)
		reversed := slices.Clone(domains)
		slices.Reverse(reversed)
		if routing.HomeDomain(key, reversed) != home {
			t.Fatalf("the home domain of key %q depends on the order of the domains", key)
		}
		removed := rapid.IntRange(0, len(domains)-1).Draw(t, "removed")
		rest := slices.Delete(slices.Clone(domains), removed, removed+1)
		if domains[removed] != home && routing.HomeDomain(key, rest) != home {
			t.Fatalf("key %q moved to another domain although its home domain remains", key)
		}
	})
}

// TestReplicaHostsRules guards against replica sets of random hosts that violate
// the rules of ReplicaHosts.
func TestReplicaHostsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []routing.Host
		for i := range rapid.IntRange(0, 12).Draw(t, "hosts") {
			domain := rapid.IntRange(0, 3).Draw(t, "domain")
			hosts = append(hosts, routing.Host{
				ID: fmt.Sprintf("h%02d", i), Domain: fmt.Sprintf("d%d", domain), Region: fmt.Sprintf("r%d", domain/2),
				Disk: rapid.IntRange(0, 3).Draw(t, "disk") > 0,
			})
		}
		byID := map[string]routing.Host{}
		disks := map[string]int{}
		for _, h := range hosts {
			byID[h.ID] = h
			if h.Disk {
				disks[h.Domain]++
			}
		}
		for _, domain := range []string{"d0", "d1", "d2", "d3"} {
			checkReplicas(t, domain, hosts, byID, disks)
		}
	})
}

func checkReplicas(t *rapid.T, domain string, hosts []routing.Host, byID map[string]routing.Host, disks map[string]int) {
	set, err := routing.ReplicaHosts(domain, hosts)
	total := disks["d0"] + disks["d1"] + disks["d2"] + disks["d3"]
	var shortage *routing.ReplicaShortage
	full := disks[domain] >= 2 && total > disks[domain]
	if full == errors.As(err, &shortage) {
		t.Fatalf("replica set %v of domain %s with error %v", set, domain, err)
	}
	if disks[domain] == 0 {
		if len(set) != 0 {
			t.Fatalf("replica set %v, want none without a local host with a disk", set)
		}
		return
	}
	if len(set) != 1 && len(set) != 3 {
		t.Fatalf("replica set %v, want a size of 1 or 3", set)
	}
	local, sameRegion, remoteInRegion := 0, false, false
	for i, id := range set {
		if !byID[id].Disk || slices.Contains(set[:i], id) {
			t.Fatalf("replica set %v has a repeated host or a host without a disk", set)
		}
		if byID[id].Domain == domain {
			local++
		} else if byID[id].Region == byID[set[0]].Region {
			sameRegion = true
		}
	}
	for _, h := range hosts {
		remoteInRegion = remoteInRegion || (h.Disk && h.Domain != domain && h.Region == byID[set[0]].Region)
	}
	if full && (local != 2 || (remoteInRegion && !sameRegion)) {
		t.Fatalf("replica set %v of domain %s: %d local replicas, want 2; remote replica in the same region: %v, possible: %v", set, domain, local, sameRegion, remoteInRegion)
	}
}

// Guards against a change of the hash, which would move the keys of stored requests
// to other home domains.
var _ = ginkgo.DescribeTable("HomeDomain never changes",
	func(key, home string) {
		domains := []string{"zrh-oerlikon", "zrh-altstetten", "lsn-renens"}
		gomega.Expect(routing.HomeDomain(key, domains)).To(gomega.Equal(home))
	},
	ginkgo.Entry("empty", "", "lsn-renens"),
	ginkgo.Entry("short", "a", "zrh-oerlikon"),
	ginkgo.Entry("order 1", "order-1", "lsn-renens"),
	ginkgo.Entry("order 2", "order-2", "lsn-renens"),
	ginkgo.Entry("path", "remada/fee/77", "zrh-altstetten"),
	ginkgo.Entry("not ASCII", "ключ", "zrh-altstetten"),
)

var _ = ginkgo.Describe("ReplicaHosts", func() {
	ginkgo.It("spreads the remote replicas over the hosts of the current deployment", func() {
		var hosts []routing.Host
		for _, place := range [][2]string{{"zrh-oerlikon", "zrh"}, {"zrh-altstetten", "zrh"}, {"lsn-renens", "lsn"}} {
			for i := range 2 {
				hosts = append(hosts, routing.Host{ID: fmt.Sprintf("%s-%d", place[0], i), Domain: place[0], Region: place[1], Disk: true})
			}
		}
		load := map[string]int{}
		for _, domain := range []string{"zrh-oerlikon", "zrh-altstetten", "lsn-renens"} {
			set, err := routing.ReplicaHosts(domain, hosts)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, id := range set {
				load[id]++
			}
		}
		for id, groups := range load {
			gomega.Expect(groups).To(gomega.BeNumerically("<=", 2), id)
		}
	})
})

var _ = ginkgo.Describe("Choose", func() {
	const second = time.Second
	here := routing.DomainView{Domain: "zrh-oerlikon", Region: "zrh", Executors: 5, Wait: 2 * second, Service: 100 * time.Millisecond}
	empty := routing.DomainView{Domain: "zrh-oerlikon", Region: "zrh"}
	near := routing.DomainView{Domain: "zrh-altstetten", Region: "zrh", Executors: 5, Service: 100 * time.Millisecond, RoundTrip: 3 * time.Millisecond}
	far := routing.DomainView{Domain: "lsn-renens", Region: "lsn", Executors: 5, Service: 100 * time.Millisecond, RoundTrip: 60 * time.Millisecond}
	old, busy := near, near
	old.Age = 4 * second
	busy.Wait = 1800 * time.Millisecond
	newRouter := func() *routing.Router {
		return routing.NewRouter(0, routing.Config{
			Domain: "zrh-oerlikon", Region: "zrh", HostsInRegion: 4,
			Links: []structs.Link{{From: "lsn", To: "zrh", SpillBytesPerSecond: 40000}},
		})
	}

	ginkgo.DescribeTable("chooses",
		func(request routing.Request, local routing.DomainView, others []routing.DomainView, domain string, reason routing.Reason) {
			d := newRouter().Choose(0, request, routing.View{Local: local, Others: others})
			gomega.Expect(d.Domain).To(gomega.Equal(domain))
			gomega.Expect(d.Reason).To(gomega.Equal(reason))
		},
		ginkgo.Entry("local while it meets the deadline", routing.Request{Remaining: 5 * second}, here, []routing.DomainView{near}, "zrh-oerlikon", routing.ReasonLocalServes),
		ginkgo.Entry("spill within the region first", routing.Request{Remaining: second}, here, []routing.DomainView{far, near}, "zrh-altstetten", routing.ReasonSpill),
		ginkgo.Entry("another region if no domain of the own region is better", routing.Request{Remaining: second}, here, []routing.DomainView{far, busy}, "lsn-renens", routing.ReasonSpill),
		ginkgo.Entry("no local executor", routing.Request{Remaining: 5 * second}, empty, []routing.DomainView{busy}, "zrh-altstetten", routing.ReasonSpill),
		ginkgo.Entry("not faster by the required margin", routing.Request{Remaining: 2050 * time.Millisecond}, here, []routing.DomainView{busy}, "zrh-oerlikon", routing.ReasonNoBetter),
		ginkgo.Entry("old views are not used", routing.Request{Remaining: second}, here, []routing.DomainView{old}, "zrh-oerlikon", routing.ReasonNoView),
		ginkgo.Entry("no second hop", routing.Request{Remaining: second, Forwarded: true}, empty, []routing.DomainView{near}, "zrh-oerlikon", routing.ReasonSecondHop),
		ginkgo.Entry("keyed requests stay in the domain of their key", routing.Request{Remaining: second, Pinned: true}, empty, []routing.DomainView{near}, "zrh-oerlikon", routing.ReasonPinned),
	)

	ginkgo.It("limits spilled requests to the byte budget of the link and counts bytes by purpose", func() {
		r := newRouter()
		view := routing.View{Local: empty, Others: []routing.DomainView{far}}
		request := routing.Request{Remaining: second, BodyBytes: 4488}
		spilled := 0
		for i := range 1000 {
			if r.Choose(time.Duration(i)*10*time.Millisecond, request, view).Place == routing.PlaceRegion {
				spilled++
			}
		}
		// The budget of this host is 10 kB/s with a burst of one second. A request
		// takes 5000 bytes, so 2 + 20 requests pass in 10 s.
		gomega.Expect(spilled).To(gomega.BeNumerically("~", 22, 1))
		r.Count(10*second, "lsn", routing.PurposeResponse, 700)
		gomega.Expect(r.Bytes()[routing.ByteCounter{Region: "lsn", Purpose: routing.PurposeRequest}]).To(gomega.BeEquivalentTo(spilled * 5000))
		gomega.Expect(r.Bytes()[routing.ByteCounter{Region: "lsn", Purpose: routing.PurposeResponse}]).To(gomega.BeEquivalentTo(700))
	})
})
