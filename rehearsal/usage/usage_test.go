package usage_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/rehearsal/usage"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Usage")
}

var _ = Describe("Read", func() {
	var root string
	write := func(name, content string) {
		Expect(os.WriteFile(filepath.Join(root, "7", name), []byte(content), 0o600)).To(Succeed())
	}

	BeforeEach(func() {
		root = GinkgoT().TempDir()
		Expect(os.Mkdir(filepath.Join(root, "7"), 0o700)).To(Succeed())
		write("io", "rchar: 1200\nwchar: 340\nsyscr: 9\n")
		write("status", "Name:\tx\nVmRSS:\t    2048 kB\n")
		write("stat", "7 (a (b) c) S 1 7 7 0 -1 4194304 100 0 0 0 150 50 0 0 20 0\n")
	})

	It("returns bytes read and written, CPU time and resident memory", func() {
		reading, err := usage.Read(root, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(reading).To(Equal(usage.Reading{
			BytesRead: 1200, BytesWritten: 340, CPUTime: 2 * time.Second, ResidentBytes: 2048 * 1024}))
	})

	It("fails on a missing field or process", func() {
		write("io", "rchar: 1200\n")
		_, err := usage.Read(root, 7)
		Expect(err).To(MatchError(ContainSubstring("no wchar")))
		_, err = usage.Read(root, 8)
		Expect(err).To(HaveOccurred())
	})
})
