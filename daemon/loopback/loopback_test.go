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

// Guards against two hosts of one test deployment with the same address: with
// random ports alone that was one deployment of ten hosts in 95.
var _ = It("gives out each address once, and only free ones", func() {
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
