package ports

import (
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// outgoingRange is where Linux tells which ports it gives to outgoing connections.
const outgoingRange = "/proc/sys/net/ipv4/ip_local_port_range"

var _ = Describe("Ports", func() {
	It("are none that the system gives to outgoing connections", func() {
		content, err := os.ReadFile(outgoingRange)
		if err != nil {
			Skip("the system does not tell: " + err.Error())
		}
		var first, last int
		_, err = fmt.Sscan(string(content), &first, &last)
		Expect(err).NotTo(HaveOccurred())
		for _, each := range []Range{OfSoak, OfPlatform, OfCommand} {
			picked, err := NewPicker(each).Pick(50)
			Expect(err).NotTo(HaveOccurred())
			for _, port := range picked {
				Expect(port).To(Or(BeNumerically("<", first), BeNumerically(">", last)))
			}
		}
	})

	It("are given once", func() {
		picker := NewPicker(Range{First: OfSoak.First, Last: OfSoak.First + 3})
		picked, err := picker.Pick(3)
		Expect(err).NotTo(HaveOccurred())
		Expect(picked).To(ConsistOf(OfSoak.First, OfSoak.First+1, OfSoak.First+2))
		_, err = picker.Pick(1)
		Expect(err).To(HaveOccurred())
	})
})
