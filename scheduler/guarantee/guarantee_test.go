package guarantee_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/guarantee"
	"cranberrydrum.dev/scheduler/structs"
)

func TestGuarantee(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "guarantee")
}

var domain = structs.FailureDomain{Name: "d", Racks: 2, WorkersPerRack: 2, AcceleratorsPerWorker: 8}

func rules(shapes ...structs.Shape) []structs.Guarantee {
	var list []structs.Guarantee
	for i, s := range shapes {
		list = append(list, structs.Guarantee{Customer: string(rune('a' + i)), Domain: "d", Shape: s})
	}
	return list
}

// Each entry guards against accepting guarantees that cannot all be kept at the same
// time, or against rejecting ones that can.
var _ = DescribeTable("Fits",
	func(unavailable int, customer string, missing structs.Shape, shapes ...structs.Shape) {
		err := guarantee.Fits(domain, rules(shapes...), unavailable)
		if customer == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		var doesNotFit *guarantee.DoesNotFitError
		Expect(errors.As(err, &doesNotFit)).To(BeTrue())
		Expect(doesNotFit.Guarantee.Customer).To(Equal(customer))
		Expect(doesNotFit.Missing).To(Equal(missing))
	},
	Entry("exact fit", 0, "", structs.Shape{}, structs.Shape{Racks: 1}, structs.Shape{Workers: 1}, structs.Shape{Accelerators: 8}),
	Entry("cells share a worker", 0, "", structs.Shape{},
		structs.Shape{Racks: 1, Workers: 1}, structs.Shape{Accelerators: 5}, structs.Shape{Accelerators: 3}),
	Entry("one accelerator too many", 0, "c", structs.Shape{Accelerators: 1},
		structs.Shape{Racks: 1, Workers: 1}, structs.Shape{Accelerators: 6}, structs.Shape{Accelerators: 3}),
	Entry("a lost worker breaks a rack", 1, "b", structs.Shape{Racks: 1}, structs.Shape{Racks: 1}, structs.Shape{Racks: 1}),
	Entry("lost workers break different racks", 2, "a", structs.Shape{Racks: 1}, structs.Shape{Racks: 1}),
	Entry("workers remain in broken racks", 2, "", structs.Shape{}, structs.Shape{Workers: 2}),
	Entry("too many workers", 0, "b", structs.Shape{Workers: 1}, structs.Shape{Racks: 1}, structs.Shape{Workers: 3}),
)

func workers(quarantined ...string) []structs.Worker {
	var list []structs.Worker
	for r := range 2 {
		for w := range 2 {
			id := fmt.Sprintf("r%dw%d", r, w)
			worker := structs.Worker{ID: id, Rack: id[:2], Accelerators: 8}
			for _, q := range quarantined {
				worker.Quarantined = worker.Quarantined || q == id
			}
			list = append(list, worker)
		}
	}
	return list
}

func job(order uint64, customer, worker string, accelerators ...int) guarantee.Job {
	return guarantee.Job{
		ID: fmt.Sprintf("j%d", order), Customer: customer, Order: order,
		Members: []structs.Member{{Worker: worker, Accelerators: accelerators}},
	}
}

var _ = Describe("Inside and Reclaimable", func() {
	whole := []int{0, 1, 2, 3, 4, 5, 6, 7}

	// Guards against small jobs that each count as inside their guarantee but
	// together leave no whole rack for the rack slots of two customers.
	It("accepts no job that leaves another customer without a rack", func() {
		state := guarantee.State{Topology: domain, Workers: workers(), Guarantees: rules(structs.Shape{Racks: 1}, structs.Shape{Racks: 1})}
		state.Jobs = []guarantee.Job{job(1, "a", "r0w0", whole...), job(2, "b", "r0w1", whole...), job(3, "b", "r1w0", 0)}
		Expect(guarantee.Inside(state)).To(Equal([]string{"j1", "j3"}))
		Expect(guarantee.Reclaimable(state, "a")).To(Succeed())
		Expect(guarantee.OpenSlotSizes(state, "a")).To(BeEmpty())
	})

	// Guards against a later job that takes the protection of the guarantee from an
	// earlier one.
	It("keeps earlier jobs inside their guarantee", func() {
		state := guarantee.State{Topology: domain, Workers: workers(), Guarantees: rules(structs.Shape{Workers: 1})}
		state.Jobs = []guarantee.Job{job(2, "a", "r0w0", 0), job(1, "a", "r0w1", 0)}
		Expect(guarantee.Inside(state)).To(Equal([]string{"j1"}))
		state.Jobs = append(state.Jobs, job(3, "a", "r0w1", 1, 2))
		Expect(guarantee.Inside(state)).To(Equal([]string{"j1", "j3"}))
	})

	// Guards against a guarantee that is lost without an error when workers are
	// quarantined.
	It("reports the customer whose shape no longer fits", func() {
		state := guarantee.State{
			Topology: domain, Workers: workers("r0w1", "r1w0"),
			Guarantees: rules(structs.Shape{Accelerators: 3}, structs.Shape{Racks: 1}),
		}
		err := guarantee.Reclaimable(state, "b")
		var lost *guarantee.UnreclaimableError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Missing).To(Equal(structs.Shape{Racks: 1, Workers: 1}))
		Expect(guarantee.Reclaimable(state, "a")).To(Succeed())
		Expect(guarantee.OpenSlotSizes(state, "b")).To(Equal([]int{8}))
	})

	// Guards against small slots that stay bound, and so are lost, when a larger
	// slot is bound to a block around theirs.
	It("reopens small slots whose blocks a larger block contains", func() {
		state := guarantee.State{Topology: domain, Workers: workers(), Guarantees: rules(structs.Shape{Workers: 1, Accelerators: 1})}
		state.Jobs = []guarantee.Job{job(1, "a", "r0w0", 0), job(2, "a", "r0w0", 1)}
		Expect(guarantee.Inside(state)).To(Equal([]string{"j1", "j2"}))
		Expect(guarantee.OpenSlotSizes(state, "a")).To(Equal([]int{1}))
	})
})

// Guards against wasted accelerators for sizes that are not powers of two, and
// against splitting a large cell while a small one is free.
var _ = DescribeTable("Fit",
	func(free guarantee.Mask, n int, want guarantee.Mask) {
		got, ok := guarantee.Fit(free, n)
		Expect(got).To(Equal(want))
		Expect(ok).To(Equal(want != 0))
	},
	Entry("three take two cells", guarantee.Mask(0xff), 3, guarantee.Mask(0x7)),
	Entry("smallest cell first", guarantee.Mask(0b11110100), 1, guarantee.Mask(0b100)),
	Entry("pair beside a whole half", guarantee.Mask(0b11111100), 2, guarantee.Mask(0b1100)),
	Entry("unaligned pair", guarantee.Mask(0b0110), 2, guarantee.Mask(0)),
	Entry("six of a worker", guarantee.Mask(0xff), 6, guarantee.Mask(0x3f)),
	Entry("too few", guarantee.Mask(0b111), 4, guarantee.Mask(0)),
)
