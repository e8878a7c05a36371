// Package e2e_test starts daemons as separate processes and checks the promises
// of the design page while processes are killed, frozen or partitioned.
package e2e_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEndToEnd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "End to end")
}
