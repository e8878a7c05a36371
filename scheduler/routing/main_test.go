package routing_test

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets a fixed seed and number of checks unless the command line sets
// them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261", "rapid.checks": "500", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

func TestRouting(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "routing")
}
