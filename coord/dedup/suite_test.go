package dedup_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets a fixed seed and number of checks for the property tests,
// unless they are given on the command line.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "3000"})
	os.Exit(m.Run())
}

func TestDedup(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dedup")
}
