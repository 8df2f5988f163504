package enginemodel

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEngineModel(t *testing.T) {
	// Property tests draw from a fixed seed.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine model")
}
