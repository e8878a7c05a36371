package serving_test

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets a fixed seed and number of checks unless the command line sets
// them, so that CI is reproducible and longer runs remain possible.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20260", "rapid.checks": "1200", "rapid.steps": "120", "rapid.nofailfile": "true"})
	os.Exit(m.Run())
}

func TestServing(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "serving")
}
