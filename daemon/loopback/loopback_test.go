package loopback_test

import (
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/daemon/loopback"
)

func TestLoopback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loopback")
}

// Guards against two hosts of one test deployment with the same address. With
// random ports alone this happened in one of 95 deployments of ten hosts.
var _ = It("returns each address once, and only addresses that are free", func() {
	seen := map[string]bool{}
	for range 2_000 {
		address, err := loopback.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		Expect(seen).NotTo(HaveKey(address))
		seen[address] = true
	}
	address, err := loopback.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
})
