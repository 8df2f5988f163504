package machines

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMachines(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "machine list stand-in")
}
