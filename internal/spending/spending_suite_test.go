package spending_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpending(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "spending")
}
