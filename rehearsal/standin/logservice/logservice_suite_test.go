package logservice

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLogService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "log stand-in")
}
