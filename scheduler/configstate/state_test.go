package configstate_test

import (
	"os"
	"strings"
	"testing"

	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/scheduler/configstate"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain sets the seed and the number of cases, unless given as flags, so that
// CI runs are reproducible.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "4711", "rapid.checks": "150", "rapid.steps": "60"})
	os.Exit(m.Run())
}

func TestConfigState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configstate")
}

// content selects one of the texts below. Two texts are equal, apart from white
// space, if and only if their contents are equal.
type content struct {
	customers string // one letter for each customer
	reason    string
	homes     string // "on" or "off" for the second failure domain
	broken    bool
}

func (c content) text(spelling string) string {
	domain := " region=r racks=1 workers-per-rack=8 accelerators-per-worker=8 keys="
	lines := []string{
		"region r # Mira Roth: " + c.reason,
		"failure-domain one" + domain + "on # Mira Roth: hall",
		"failure-domain two" + domain + c.homes + " # Mira Roth: hall",
		"token " + strings.Repeat("0a", 32) + " role=operator # Mira Roth: example",
		"keys retention=1d max-keys=1000 # Mira Roth: clients resend",
		"policy peak-demand=50% completion=50% # Mira Roth: balanced",
	}
	for _, name := range c.customers {
		lines = append(lines, "customer "+string(name)+" weight=1 # Mira Roth: contract")
	}
	if c.broken {
		lines = append(lines, "customer # Mira Roth: no name")
	}
	return strings.ReplaceAll(strings.Join(lines, "\n")+"\n", " ", spelling)
}

func apply(s *configstate.State, index uint64, c configstate.Command) configstate.Result {
	data, err := configstate.EncodeCommand(c)
	if err != nil {
		panic(err)
	}
	result, err := configstate.DecodeResult(s.Apply(index, 1, data))
	if err != nil {
		panic(err)
	}
	return result
}

func command(base uint64, c content) configstate.Command {
	return configstate.Command{BaseVersion: base, Text: []byte(c.text(" ")), Author: "mira", RequestID: "r1"}
}

var _ = Describe("State", func() {
	plain := content{customers: "a", reason: "site", homes: "off"}

	// Guards against refusing the resend of an accepted change, against reporting a
	// resend as not run when the history no longer shows whether it ran, and against a
	// history that grows without bound.
	It("returns the first result for a resend, or an unknown outcome if the history is too short", func() {
		s := configstate.New()
		first := command(0, plain)
		answer := apply(s, 1, first)
		Expect(answer.Version).To(BeEquivalentTo(1))
		for v := uint64(1); v < configstate.MaxHistory; v++ {
			c := plain
			c.customers = string(rune('a' + v%20))
			Expect(apply(s, v+1, command(v, c)).Refusal).To(BeNil())
		}
		Expect(apply(s, 600, first)).To(Equal(answer))
		Expect(apply(s, 601, command(configstate.MaxHistory, plain)).Refusal).To(BeNil())
		late := apply(s, 602, first)
		Expect(late.Refusal).To(And(HaveField("Code", structs.CodeVersionConflict), HaveField("Outcome", structs.OutcomeUnknown)))
		Expect(s.History()).To(HaveLen(configstate.MaxHistory))
		snapshot, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(snapshot)).To(BeNumerically("<", configstate.MaxHistoryBytes))
	})

	// Guards against a history that shows wrong numbers of changes.
	It("counts the changed rules and comments of a version", func() {
		s := configstate.New()
		apply(s, 1, command(0, content{customers: "ab", reason: "site", homes: "off"}))
		apply(s, 2, command(1, content{customers: "bcd", reason: "other site", homes: "off"}))
		Expect(s.History()[1]).To(And(
			HaveField("Added", 2), HaveField("Removed", 1), HaveField("Changed", 1), HaveField("Comments", 1),
			HaveField("Author", "mira"), HaveField("Index", uint64(2)),
		))
	})

	// Guards against a refused command that changes the state.
	DescribeTable("refuses a command and leaves the state unchanged", func(change func(*configstate.Command), code structs.Code) {
		s := configstate.New(func(cfg *structs.Config) []rules.GuaranteeProblem {
			if len(cfg.Customers) < 3 {
				return nil
			}
			return []rules.GuaranteeProblem{{Line: 1, Message: "does not fit"}}
		})
		Expect(apply(s, 1, command(0, plain)).Refusal).To(BeNil())
		before, _ := s.Snapshot()
		c := command(1, plain)
		change(&c)
		result := apply(s, 2, c)
		Expect(result.Refusal).To(And(HaveField("Code", code), HaveField("Outcome", structs.OutcomeNotRun)))
		after, _ := s.Snapshot()
		Expect(after).To(Equal(before))
	},
		Entry("no author", func(c *configstate.Command) { c.Author = "" }, structs.CodeInvalid),
		Entry("long author", func(c *configstate.Command) { c.Author = strings.Repeat("a", 65) }, structs.CodeInvalid),
		Entry("long request id", func(c *configstate.Command) { c.RequestID = strings.Repeat("a", 65) }, structs.CodeInvalid),
		Entry("empty text", func(c *configstate.Command) { c.Text = nil }, structs.CodeRulesInvalid),
		Entry("guarantees that do not fit", func(c *configstate.Command) { c.Text = []byte(content{"abc", "site", "off", false}.text(" ")) }, structs.CodeGuaranteeDoesNotFit),
		Entry("a changed set of key homes", func(c *configstate.Command) { c.Text = []byte(content{"a", "site", "on", false}.text(" ")) }, structs.CodeKeyHomesFixed),
		Entry("a base version that is not accepted yet", func(c *configstate.Command) { c.BaseVersion = 2 }, structs.CodeVersionConflict),
	)

	// Guards against damaged data that changes the state.
	It("rejects corrupt commands and snapshots", func() {
		s := configstate.New()
		result, err := configstate.DecodeResult(s.Apply(1, 1, []byte{0xc1}))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Refusal.Code).To(Equal(structs.CodeInvalid))
		apply(s, 2, command(0, plain))
		snapshot, _ := s.Snapshot()
		damaged := []byte(strings.Replace(string(snapshot), "Mira", "Mara", 1))
		var snapshotError *configstate.SnapshotError
		Expect(s.Restore(damaged)).To(BeAssignableToTypeOf(snapshotError))
		var codecError *configstate.CodecError
		Expect(s.Restore(snapshot[:9])).To(BeAssignableToTypeOf(codecError))
		Expect(s.Version()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Follower", func() {
	// Guards against a host that serves an outdated configuration after its start, and
	// against a serving host that becomes unready when a newer version is accepted.
	It("is ready only after it has the version confirmed as the latest", func() {
		text := []byte(content{customers: "a", reason: "site", homes: "off"}.text(" "))
		f := configstate.NewFollower()
		f.Confirm(configstate.SourceQuorum, 0)
		Expect(f.Readiness().Ready).To(BeFalse(), "there is no configuration yet")
		f.Confirm(configstate.SourceQuorum, 2)
		Expect(f.Offer(1, rules.Digest(text), text)).To(BeTrue())
		Expect(f.Readiness().Ready).To(BeFalse())
		Expect(f.Offer(2, rules.Digest(text), text)).To(BeTrue())
		Expect(f.Readiness()).To(Equal(configstate.Readiness{Ready: true, Source: configstate.SourceQuorum, Version: 2, Required: 2}))
		f.Confirm(configstate.SourceDomain, 3)
		Expect(f.Readiness()).To(Equal(configstate.Readiness{Ready: true, Source: configstate.SourceDomain, Version: 2, Required: 3}))
	})
})
