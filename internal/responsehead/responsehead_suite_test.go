package responsehead

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResponseHead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "responsehead")
}
