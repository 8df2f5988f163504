package resultcode_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResultCode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resultcode")
}
