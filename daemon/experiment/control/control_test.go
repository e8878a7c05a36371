package control_test

import (
	"encoding/csv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/experiment/control"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control cost")
}

func run(parts ...control.Part) control.Table {
	table, err := control.Run(control.Options{Quick: true, Parts: parts})
	Expect(err).NotTo(HaveOccurred())
	return table
}

func find(t control.Table, quantity string) control.Row {
	for _, r := range t.Rows {
		if strings.HasPrefix(r.Quantity, quantity) {
			return r
		}
	}
	Fail("no row " + quantity)
	return control.Row{}
}

var _ = Describe("the measurements", func() {
	// Guards against a wrong base or slope in the table, and against a division by
	// zero for a single point.
	It("fits a line through the points", func() {
		base, slope := control.Row{Points: []control.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}}}.Line()
		Expect(base).To(BeNumerically("~", 3, 1e-9))
		Expect(slope).To(BeNumerically("~", 2, 1e-9))
		base, slope = control.Row{Points: []control.Point{{Value: 4}}}.Line()
		Expect([]float64{base, slope}).To(Equal([]float64{4, 0}))
	})

	// Guards against growing traffic or syncs of an idle log, and against a sync
	// for each change of a batch.
	It("measures one sync for a batch, and only heartbeats on an idle log", func() {
		t := run(control.PartLog)
		for _, p := range find(t, "syncs per change: leader").Points {
			Expect(p.Value*p.Size).To(BeNumerically("~", 1, 0.01), "batch of %v", p.Size)
		}
		Expect(find(t, "idle log: syncs").Points[0].Value).To(BeZero())
		// A heartbeat and its reply for each of two followers every 150 ms.
		Expect(find(t, "idle log: frames").Points[0].Value).To(BeNumerically("<=", 4/0.15))
		_, slope := find(t, "replication of a change: leader").Line()
		Expect(slope).To(BeNumerically("~", 1, 0.05), "each byte is sent once to each replica")
	})

	// Guards against renewals whose traffic exceeds the bound of 19 KB/s of a node.
	It("measures small renewals at the target size", func() {
		t := run(control.PartRenewal)
		for _, name := range []string{"renewal request", "renewal reply"} {
			base, slope := find(t, name).Line()
			Expect(base + 18*slope).To(BeNumerically("<", 2000))
		}
	})

	// Guards against unquoted commas in cells, which shift the columns of the CSV.
	It("writes the same number of cells in each line of the CSV", func() {
		row := control.Row{Quantity: "heap of workers, with tasks", Points: []control.Point{{Size: 1, Value: 2}, {Size: 3, Value: 4}}}
		records, err := csv.NewReader(strings.NewReader(control.Table{Rows: []control.Row{row}}.CSV())).ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(records).To(HaveLen(2))
		Expect(records[1][1]).To(Equal(row.Quantity))
	})

	// Guards against a row from whose sizes no line can be fitted, and against a
	// restored state that differs from the saved one in its number of entries.
	It("restores the state of a domain and measures its memory and rounds", func() {
		t := run(control.PartRecovery, control.PartMemory, control.PartRound)
		for _, r := range t.Rows {
			if r.Against != "" {
				Expect(len(r.Points)).To(BeNumerically(">=", 3), r.Quantity)
			}
		}
	})

	// Guards against an unknown part that is ignored, and against part process
	// without a process to measure.
	It("reports an unknown part and a missing process", func() {
		_, err := control.Run(control.Options{Parts: []control.Part{"weather"}})
		Expect(err).To(BeAssignableToTypeOf(&control.UnknownPartError{}))
		_, err = control.Run(control.Options{Parts: []control.Part{control.PartProcess}})
		Expect(err).To(MatchError(ContainSubstring("process id")))
	})
})
