package arrival_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestArrival(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "arrival suite")
}
