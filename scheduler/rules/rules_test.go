package rules_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranberrydrum.dev/coord/testflags"
	"cranberrydrum.dev/scheduler/rules"
	"cranberrydrum.dev/scheduler/structs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestMain sets a fixed seed and number of cases, unless flags give others, so
// that CI results are reproducible.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261", "rapid.checks": "300"})
	os.Exit(m.Run())
}

func TestRules(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rules")
}

const exampleDir = "../../examples"

func readExample(name string) []byte {
	text, err := os.ReadFile(filepath.Join(exampleDir, name))
	if err != nil {
		panic(err)
	}
	return text
}

// validRules is a valid file in canonical form. The cases below change one part
// of it.
const validRules = `region zrh # Mira Roth: main site
region lsn # Mira Roth: second site
failure-domain zrh-one region=zrh racks=2 workers-per-rack=8 accelerators-per-worker=8 keys=on # Mira Roth: hall
failure-domain lsn-one region=lsn racks=1 workers-per-rack=8 accelerators-per-worker=8 # Mira Roth: hall
link zrh lsn capacity=30Mbit/s spill=512KiB/s # Mira Roth: leased line
customer melonbank weight=3 # Mira Roth: contract
guarantee melonbank zrh-one racks=1 workers=2 accelerators=4 # Mira Roth: contract
quota melonbank failure-domain=zrh-one accelerators=84 # Mira Roth: contract
service planner slots=8 connections=64 retry-budget=2.5% max-attempts=3 attempt-timeout=250ms # Mira Roth: measured
class planner urgent reserved=60% max-queue=10 deadline=1s # Mira Roth: people wait
class planner normal reserved=40% max-queue=10 deadline=1min # Mira Roth: shop
class planner bulk max-queue=10 deadline=2h # Mira Roth: nightly
grant melonbank max-priority=urgent # Mira Roth: contract
grant melonbank service=planner failure-domain=zrh-one # Mira Roth: contract
token 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff role=operator # Mira Roth: example
token ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff role=caller customer=melonbank # Mira Roth: example
keys retention=1d max-keys=1000 # Mira Roth: clients resend for hours
policy peak-demand=70% completion=30% # Mira Roth: drivers wait
`

var _ = Describe("Parse", func() {
	// Guards against fields that are dropped or converted with the wrong unit.
	It("reads every type of the configuration", func() {
		cfg, errs := rules.Parse("small", []byte(validRules))
		Expect(errs).To(BeEmpty())
		Expect(cfg.Domains[0]).To(Equal(structs.FailureDomain{
			Name: "zrh-one", Region: "zrh", KeyHome: true, Racks: 2, WorkersPerRack: 8, AcceleratorsPerWorker: 8,
			Source: structs.Source{Comment: "Mira Roth: hall", Line: 3},
		}))
		Expect(cfg.Links[0].BytesPerSecond).To(BeEquivalentTo(3_750_000))
		Expect(cfg.Links[0].SpillBytesPerSecond).To(BeEquivalentTo(524_288))
		Expect(cfg.Guarantees[0].Shape).To(Equal(structs.Shape{Racks: 1, Workers: 2, Accelerators: 4}))
		Expect(cfg.Quotas[0].Accelerators).To(Equal(84))
		Expect(cfg.Services[0].RetryBudget).To(Equal(0.025))
		Expect(cfg.Services[0].AttemptTimeout).To(Equal(250 * time.Millisecond))
		Expect(cfg.Classes[2]).To(HaveField("DefaultDeadline", 2*time.Hour))
		Expect(cfg.Grants[0].MaxPriority).To(Equal(structs.PriorityUrgent))
		Expect(cfg.Grants[1]).To(HaveField("Service", "planner"))
		Expect(cfg.Tokens[1].Customer).To(Equal("melonbank"))
		Expect(cfg.Keys).To(HaveField("Retention", 24*time.Hour))
		Expect(cfg.Policy.Crest).To(Equal(0.7))
		Expect(rules.Format([]byte(validRules))).To(BeEquivalentTo(validRules))
	})

	// Each case replaces one part of the valid file and guards against an error
	// that is accepted or reported at the wrong position.
	DescribeTable("reports an error with its code, position and hint",
		func(old, new string, line, column int, code rules.Code, hint string) {
			Expect(validRules).To(ContainSubstring(old))
			cfg, errs := rules.Parse("small", []byte(strings.Replace(validRules, old, new, 1)))
			Expect(cfg).To(BeNil())
			Expect(errs).To(HaveLen(1), "%v", errs)
			Expect(*errs[0]).To(And(HaveField("Code", code), HaveField("Line", line), HaveField("Column", column), HaveField("File", "small")))
			Expect(errs[0].Hint).To(ContainSubstring(hint))
			Expect(errs[0].Message).NotTo(BeEmpty())
		},
		Entry("unknown keyword", "link zrh", "lnik zrh", 5, 1, rules.CodeUnknownKeyword, `did you mean "link"?`),
		Entry("unknown field", "weight=3", "wieght=3", 6, 20, rules.CodeUnknownField, `did you mean "weight"?`),
		Entry("field of another keyword", "weight=3", "capacity=3", 6, 20, rules.CodeUnknownField, "its fields are weight"),
		Entry("repeated field", "weight=3", "weight=3 weight=4", 6, 29, rules.CodeRepeatedField, "keep one"),
		Entry("missing field", " attempt-timeout=250ms", "", 9, 1, rules.CodeMissingField, "250ms"),
		Entry("missing name", "quota melonbank", "quota", 8, 1, rules.CodeMissingName, ""),
		Entry("name after a field", "weight=3", "weight=3 extra", 6, 29, rules.CodeUnexpectedArgument, "key=value"),
		Entry("unknown class", "planner bulk", "planner blk", 12, 15, rules.CodeBadName, `did you mean "bulk"?`),
		Entry("malformed token digest", "token 00", "token XX", 15, 7, rules.CodeBadName, "64 lower-case"),
		Entry("missing unit", "deadline=1s", "deadline=1", 10, 57, rules.CodeBadValue, "250ms"),
		Entry("unit of another kind", "spill=512KiB/s", "spill=512KiB", 5, 38, rules.CodeBadValue, "512KiB/s"),
		Entry("fraction of a millisecond", "deadline=1s", "deadline=1.5ms", 10, 57, rules.CodeBadValue, "250ms"),
		Entry("value out of range", "retry-budget=2.5%", "retry-budget=100.001%", 9, 53, rules.CodeValueOutOfRange, "0% to 100%"),
		Entry("integer overflow", "retention=1d", "retention=999999999999d", 17, 16, rules.CodeBadValue, ""),
		Entry("value other than on or off", "keys=on", "keys=yes", 3, 93, rules.CodeBadValue, "off, on"),
		Entry("no comment", " # Mira Roth: leased line", "", 5, 46, rules.CodeMissingComment, "<who>: <why>"),
		Entry("comment without a requester", "# Mira Roth: leased", "# : leased", 5, 47, rules.CodeMissingPerson, "<who>: <why>"),
		Entry("comment without a reason", "# Mira Roth: leased line", "# Mira Roth: -", 5, 47, rules.CodeMissingReason, "<who>: <why>"),
		Entry("invisible character", "Mira Roth: leased", "Mira \u202eRoth: leased", 5, 54, rules.CodeBadCharacter, "remove"),
		Entry("long line", "leased line", strings.Repeat("long ", 200), 5, 1, rules.CodeLineTooLong, "shorten"),
		Entry("unknown region", "region=lsn", "region=lsm", 4, 24, rules.CodeUnknownReference, `did you mean "lsn"?`),
		Entry("unknown customer", "customer=melonbank", "customer=melonbnak", 16, 84, rules.CodeUnknownReference, `did you mean "melonbank"?`),
		Entry("unknown service", "service=planner", "service=other", 14, 17, rules.CodeUnknownReference, "declare it"),
		Entry("duplicate region", "region lsn #", "region zrh # A: b\nregion lsn #", 2, 1, rules.CodeDuplicateRule, "line 1"),
		Entry("percentage in place of a rate", "customer melonbank", "link lsn zrh capacity=1MiB/s spill=0% # A: b\ncustomer melonbank", 6, 36, rules.CodeBadValue, ""),
		Entry("duplicate link with reversed regions", "customer melonbank", "link lsn zrh capacity=1MiB/s spill=0B/s # A: b\ncustomer melonbank", 6, 1, rules.CodeDuplicateRule, "line 5"),
		Entry("second policy", "policy", "policy peak-demand=1% completion=1% # A: b\npolicy", 19, 1, rules.CodeDuplicateRule, "line 18"),
		Entry("no policy", "policy peak", "#policy peak", 0, 0, rules.CodeMissingRule, "add one"),
		Entry("policy with both weights zero", "peak-demand=70% completion=30%", "peak-demand=0% completion=0%", 18, 8, rules.CodePolicyWithoutShare, ""),
		Entry("reserved shares above 100%", "reserved=40%", "reserved=40.001%", 11, 22, rules.CodeReservedOver100Percent, "at most 100%"),
		Entry("missing class", "class planner bulk", "# class planner bulk", 9, 1, rules.CodeMissingRule, "class planner bulk"),
		Entry("fewer connections than slots", "connections=64", "connections=7", 9, 25, rules.CodeFewerConnectionsThanSlots, "connection"),
		Entry("link within region", "link zrh lsn", "link zrh zrh", 5, 10, rules.CodeLinkWithinRegion, "two regions"),
		Entry("spill above the link capacity", "spill=512KiB/s", "spill=31Mbit/s", 5, 32, rules.CodeSpillOverCapacity, "30Mbit/s"),
		Entry("guarantee above the topology", "racks=2 workers", "racks=1 workers", 7, 1, rules.CodeGuaranteeDoesNotFit, "reduce"),
		Entry("empty guarantee", "racks=1 workers=2 accelerators=4", "racks=0", 7, 1, rules.CodeGuaranteeEmpty, "at least one"),
		Entry("quota below the guarantee", "accelerators=84", "accelerators=83", 8, 40, rules.CodeQuotaBelowGuarantee, "line 7"),
		Entry("guarantee without a job grant", "grant melonbank max-priority=urgent", "grant melonbank failure-domain=lsn-one", 7, 1, rules.CodeGuaranteeWithoutGrant, "add: grant"),
		Entry("priority in a service grant", "service=planner", "service=planner max-priority=bulk", 14, 33, rules.CodeFieldNotAllowed, "remove"),
		Entry("caller without customer", "role=caller customer=melonbank", "role=caller", 16, 1, rules.CodeMissingField, "customer=<name>"),
		Entry("operator with a customer", "role=operator", "role=operator customer=melonbank", 15, 86, rules.CodeFieldNotAllowed, "remove"),
		Entry("no operator token", "role=operator", "role=worker", 0, 0, rules.CodeNoOperatorToken, ""),
		Entry("no key home", "keys=on", "keys=off", 0, 0, rules.CodeNoKeyHome, ""),
	)

	// Guards against operators who have to apply a file once for each error.
	It("reports all errors of a file in one run, sorted by line", func() {
		text := strings.NewReplacer("weight=3", "weight=0", "max-queue=10", "max-queue=x", "# Mira Roth: hall", "").Replace(validRules)
		_, errs := rules.Parse("small", []byte(text))
		Expect(errs).To(HaveLen(6))
		for i := 1; i < len(errs); i++ {
			Expect(errs[i].Line).To(BeNumerically(">=", errs[i-1].Line))
		}
	})

	// Guards against a guarantee check that runs on a configuration with other
	// errors, and against errors of the check without a position in the file.
	It("runs the guarantee check only on files without other errors", func() {
		calls := 0
		check := func(cfg *structs.Config) []rules.GuaranteeProblem {
			calls++
			return []rules.GuaranteeProblem{{Line: cfg.Guarantees[0].Source.Line, Message: "does not fit"}}
		}
		_, errs := rules.Parse("small", []byte(validRules), check)
		Expect(errs).To(ConsistOf(HaveField("Code", rules.CodeGuaranteeDoesNotFit)))
		Expect(errs[0].Error()).To(Equal("small:7:1: does not fit [guarantee_does_not_fit]"))
		_, errs = rules.Parse("small", []byte(validRules+"regoin x\n"), check)
		Expect(errs).NotTo(BeEmpty())
		Expect(calls).To(Equal(1))
	})

	// Guards against a replicated text that is larger than the limits, which
	// apply to the canonical form too.
	It("rejects a text that exceeds a limit as written or only in canonical form", func() {
		growsWhenFormatted := strings.Repeat("region a#b:"+strings.Repeat("c", 90)+"\n", rules.MaxTextBytes/102)
		Expect(len(growsWhenFormatted)).To(BeNumerically("<=", rules.MaxTextBytes))
		for _, text := range []string{growsWhenFormatted, strings.Repeat("x", rules.MaxTextBytes+1), strings.Repeat("\n", rules.MaxLines+1)} {
			_, errs := rules.Parse("x", []byte(text))
			Expect(errs).To(ConsistOf(HaveField("Code", rules.CodeTextTooLarge)))
		}
	})

	// Guards against examples that are no longer accepted or not in canonical
	// form.
	DescribeTable("accepts the examples in canonical form", func(name, service string) {
		text := readExample(name)
		cfg, errs := rules.Parse(name, text)
		Expect(errs).To(BeEmpty())
		Expect(rules.Format(text)).To(Equal(text))
		Expect(cfg.Regions).To(HaveLen(2))
		Expect(cfg.Domains).To(HaveLen(3))
		Expect(cfg.Customers).To(HaveLen(4))
		Expect(cfg.Links).To(ConsistOf(HaveField("BytesPerSecond", int64(3_750_000))))
		Expect(cfg.Services).To(ConsistOf(And(HaveField("Name", service), HaveField("Slots", 8), HaveField("Connections", 64))))
	},
		Entry("Korbfrisch", "korbfrisch.rules", "basket-planner"),
		Entry("Remada", "remada.rules", "entry-desk"),
	)
})

var _ = Describe("Format and Digest", func() {
	// Guards against different digests of rules that are equal except for
	// spacing and units.
	It("map equivalent spellings to one canonical form and digest", func() {
		spelled := "link\tzrh lsn  spill=0.5MiB/s capacity=30000kbit/s   #Mira Roth :leased line  \r\n\n"
		line := "link zrh lsn capacity=30Mbit/s spill=512KiB/s # Mira Roth: leased line\n"
		Expect(rules.Format([]byte(spelled))).To(BeEquivalentTo(line))
		Expect(rules.Digest([]byte(spelled))).To(Equal(rules.Digest([]byte(line))))
		Expect(rules.Digest([]byte(line))).NotTo(Equal(rules.Digest([]byte(validRules))))
	})
})
