package admission

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("job identifiers",
	func(id string, valid bool) { Expect(validJobID(id)).To(Equal(valid)) },
	Entry("16 hexadecimal digits", "5c0e7a21d94b36f8", true),
	Entry("too short", "5c0e7a21d94b36f", false),
	Entry("a letter that is not a hexadecimal digit", "5c0e7a21d94b36fg", false),
	Entry("with a slash", "5c0e7a21/94b36f8", false),
)
