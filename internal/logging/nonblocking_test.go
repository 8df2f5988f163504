package logging_test

import (
	"bytes"

	"github.com/magpielug/magpielug/internal/logging"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (writer *blockedWriter) Write(data []byte) (int, error) {
	<-writer.release
	return writer.written.Write(data)
}

var _ = Describe("NonBlocking", func() {
	It("drops and counts lines when the output blocks", func() {
		output := &blockedWriter{release: make(chan struct{})}
		writer := logging.NewNonBlockingWriter(output)
		const lines = 10000
		for range lines {
			_, err := writer.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(writer.Dropped()).To(BeNumerically(">", 0))
		close(output.release)
		writer.Close()
		kept := bytes.Count(output.written.Bytes(), []byte("\n"))
		Expect(int64(kept) + writer.Dropped()).To(BeEquivalentTo(lines))
	})

	It("accepts writes after Close", func() {
		var output bytes.Buffer
		writer := logging.NewNonBlockingWriter(&output)
		_, err := writer.Write([]byte("before\n"))
		Expect(err).NotTo(HaveOccurred())
		writer.Close()
		Expect(output.String()).To(Equal("before\n"))
		Expect(func() { _, _ = writer.Write([]byte("after\n")) }).NotTo(Panic())
	})
})
