package enginemodel

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEngineModel(t *testing.T) {
	// A fixed seed makes the property tests repeatable.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine model")
}
