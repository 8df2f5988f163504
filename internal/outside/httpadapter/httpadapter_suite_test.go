package httpadapter

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPAdapter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "HTTP adapters")
}
