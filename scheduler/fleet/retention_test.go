package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/scheduler/fleet"
)

// Guards against a submission that runs its job again, or in spite of its cancel, because the
// record of the job was removed before a suspended host or a cut link let it go.
var _ = DescribeTable("ended jobs are kept",
	func(retention, kept time.Duration) {
		s := fleet.Settings{Retention: retention}
		Expect(s.JobRetention()).To(Equal(kept))
	},
	Entry("for longer than their state can be read", 4*time.Minute, 5*time.Minute),
	Entry("for some minutes where their state can be read for seconds", 5*time.Second, 150*time.Second),
)
