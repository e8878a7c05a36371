package main

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("bench", func() {
	// Guards against CSV rows whose number of columns differs from the header,
	// and against results that differ between runs with the same seed.
	DescribeTable("prints the same table and CSV for the same seed", func(header string, args ...string) {
		file := filepath.Join(GinkgoT().TempDir(), "table.csv")
		args = append([]string{"bench"}, append(args, "--quick", "--seed", "7", "--csv", file)...)
		first := execute(nil, "", args...)
		Expect(first.Status).To(Equal(0), first.Stderr)
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		records, err := csv.NewReader(strings.NewReader(string(text))).ReadAll()
		Expect(err).NotTo(HaveOccurred(), "every row has as many columns as the header")
		Expect(len(records)).To(BeNumerically(">", 1))
		Expect(records[0]).To(ContainElement(header))
		Expect(execute(nil, "", args...).Stdout).To(Equal(first.Stdout))
	},
		Entry("placement", "deployment", "placement"),
		Entry("serving", "urgent_ok_%", "serving", "--deployment", "remada", "--policy", "completion"),
	)

	// Guards against a --part flag that does not reach the measurement.
	It("measures a part of the control cost", func() {
		r := execute(nil, "", "bench", "control", "--quick", "--part", "round")
		Expect(r.Status).To(Equal(0), r.Stderr)
		Expect(r.Stdout).To(ContainSubstring("CPU of a round"))
	})

	// Guards against --deployment and --policy flags that are accepted but have no
	// effect.
	It("restricts placement to one policy and one deployment", func() {
		r := execute(nil, "", "bench", "placement", "--quick", "--deployment", "remada", "--policy", "fcfs-first-fit")
		Expect(r.Status).To(Equal(0), r.Stderr)
		Expect(r.Stdout).To(And(ContainSubstring("deployment remada"), ContainSubstring("fcfs-first-fit")))
		Expect(r.Stdout).NotTo(Or(ContainSubstring("korbfrisch"), ContainSubstring("quota-without-shape")))
	})

	// Guards against a --seed flag that is accepted but has no effect.
	It("rejects --seed for the control cost, which uses no random numbers", func() {
		r := execute(nil, "", "bench", "control", "--quick", "--part", "round", "--seed", "7")
		Expect(r.Status).To(Equal(2), r.Stderr)
		Expect(r.Stderr).To(ContainSubstring("seed"))
	})

	// Guards against a long run that starts with invalid arguments, and against an
	// error that does not name the allowed values.
	DescribeTable("rejects invalid arguments before measuring", func(reason string, args ...string) {
		r := execute(nil, "", append([]string{"bench"}, args...)...)
		Expect(r.Status).To(Equal(2), r.Stderr)
		Expect(r.Stderr).To(ContainSubstring(reason))
	},
		Entry(nil, "korbfrisch or remada", "placement", "--deployment", "elsewhere"),
		Entry(nil, "korbfrisch or remada", "serving", "--deployment", "elsewhere"),
		Entry(nil, "peak-demand, balanced or completion", "serving", "--policy", "crest"),
		Entry(nil, "at least 1", "serving", "--repeat", "0"),
		Entry(nil, "cranberrydrum, fcfs-first-fit", "placement", "--policy", "balanced"),
		Entry(nil, "exclude each other", "placement", "--target", "--deployment", "remada"),
		Entry(nil, "unknown part", "control", "--part", "weather"),
		Entry(nil, "no server", "control", "--part", "process"),
		Entry(nil, "--pid and --failure-domain", "control", "--part", "process", "--server", "127.0.0.1:1"),
		Entry(nil, "needs a subcommand"),
	)

	// Guards against exit status 0 although the requested file is missing.
	It("reports a CSV file that cannot be written", func() {
		r := execute(nil, "", "bench", "control", "--quick", "--part", "round", "--csv", filepath.Join(GinkgoT().TempDir(), "none", "t.csv"))
		Expect(r.Status).To(Equal(1))
		Expect(r.Stderr).To(ContainSubstring("output_failed"))
	})
})
