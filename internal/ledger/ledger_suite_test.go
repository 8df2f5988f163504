package ledger_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// TestLedger runs the property tests with a fixed seed for reproducible results.
// -rapid.checks sets the number of generated cases.
func TestLedger(t *testing.T) {
	settings := map[string]string{"rapid.seed": "20261202", "rapid.steps": "150", "rapid.nofailfile": "true"}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Ledger")
}
