package streamversion

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStreamVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stream versions")
}
