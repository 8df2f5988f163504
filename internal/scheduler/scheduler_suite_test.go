package scheduler

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestScheduler(t *testing.T) {
	// A fixed seed makes the results reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scheduler Suite")
}
