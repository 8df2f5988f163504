package durable_test

import (
	"context"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ReadToEnd", func() {
	ctx := context.Background()

	It("starts at the oldest retained record, then reads only new records", func() {
		log := durable.NewMemory()
		appendRecord := func(text string) {
			_, err := log.Append(ctx, partition, [][]byte{[]byte(text)}, durable.Condition{})
			Expect(err).NotTo(HaveOccurred())
		}
		for _, text := range []string{"a", "b", "c"} {
			appendRecord(text)
		}
		log.Trim(partition, 1)
		var read []string
		apply := func(_ int64, record []byte) { read = append(read, string(record)) }
		next, err := durable.ReadToEnd(ctx, log, partition, durable.ReadProgress{}, apply)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal([]string{"b", "c"}))
		appendRecord("d")
		next, err = durable.ReadToEnd(ctx, log, partition, next, apply)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.NextOffset).To(BeEquivalentTo(4))
		Expect(read).To(Equal([]string{"b", "c", "d"}))
	})

	It("fails if the partition ends before the read offset", func() {
		_, err := durable.ReadToEnd(ctx, durable.NewMemory(), partition, durable.ReadProgress{NextOffset: 5}, func(int64, []byte) {})
		Expect(err).To(HaveOccurred())
	})
})
