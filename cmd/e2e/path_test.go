package e2e_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/api"
)

var _ = Describe("The whole path", func() {
	// Guards against a build whose components work in isolation but not
	// together.
	It("serves a request through each of six processes", func() {
		c := newCluster(sixHosts)
		c.applyInitialRules(baseRules())
		c.startExecutors(2, oerlikon, altstetten, renens)
		c.awaitServing(c.hosts...)
	})

	// Guards against a charge that runs twice when the caller resends it through
	// another host.
	It("runs a non-idempotent request once and repeats its answer", func() {
		c := newCluster(sixHosts)
		c.applyInitialRules(baseRules())
		executors := c.startExecutors(1, oerlikon, altstetten, renens)
		c.awaitServing(c.hosts...)
		headers := map[string]string{api.HeaderNonIdempotent: "true", api.HeaderKey: "charge-1"}
		for _, p := range c.hosts {
			a, err := c.request(p, "fee 40", headers)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(a.body)).To(Equal("fee 40"), "host "+p.id)
		}
		runs := 0
		for _, e := range executors {
			runs += e.Stats().RunsByKey["charge-1"]
		}
		Expect(runs).To(Equal(1))
		a, err := c.request(c.hosts[0], "fee 41", headers)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.refusal).To(Equal("key_conflict"))
	})
})
