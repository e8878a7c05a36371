package placement_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets the default seed and number of checks of the property tests; the
// command line overrides them.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"})
	os.Exit(m.Run())
}

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}
