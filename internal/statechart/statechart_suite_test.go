package statechart_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStatechart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Statechart")
}
