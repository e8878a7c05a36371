package workload

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a gang that is started in part, because its starts were divided between two
// entries of the log and only the first was stored.
var _ = DescribeTable("a command with many starts is divided", func(tasksOfSteps []int, first int) {
	var starts []Start
	for step, tasks := range tasksOfSteps {
		for n := range tasks {
			starts = append(starts, Start{Task: TaskKey{Job: "j", Step: step, Index: n}, Run: 1})
		}
	}
	a, b, ok := (&Command{Starts: starts}).Split()
	Expect(ok).To(BeTrue())
	Expect(a.Starts).To(HaveLen(first))
	Expect(append(a.Starts[:first:first], b.Starts...)).To(Equal(starts))
},
	Entry("in the middle if a step ends there", []int{3, 3}, 3),
	Entry("before the step in the middle", []int{2, 5, 1}, 2),
	Entry("behind the step in the middle", []int{6, 1, 1}, 6),
	Entry("within a step that is all there is", []int{4}, 2),
)
