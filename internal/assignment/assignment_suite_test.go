package assignment_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAssignment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assignment")
}
