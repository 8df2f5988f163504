package durable_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDurable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "durable")
}
