package registry_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberrydrum.dev/coord/testflags"
)

// TestMain sets a fixed seed and numbers of checks and steps for the property
// tests, unless they are given on the command line.
func TestMain(m *testing.M) {
	testflags.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "100"})
	os.Exit(m.Run())
}

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}
