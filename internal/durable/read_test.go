package durable_test

import (
	"context"

	"github.com/magpielug/magpielug/internal/durable"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ReadToEnd", func() {
	ctx := context.Background()

	It("goes on from the oldest record kept, and then only with what is new", func() {
		log := durable.NewMemory()
		add := func(text string) {
			_, err := log.Append(ctx, partition, [][]byte{[]byte(text)}, durable.Condition{})
			Expect(err).NotTo(HaveOccurred())
		}
		for _, text := range []string{"a", "b", "c"} {
			add(text)
		}
		log.Trim(partition, 1)
		var read []string
		take := func(record []byte) { read = append(read, string(record)) }
		next, err := durable.ReadToEnd(ctx, log, partition, 0, take)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal([]string{"b", "c"}))
		add("d")
		next, err = durable.ReadToEnd(ctx, log, partition, next, take)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(BeEquivalentTo(4))
		Expect(read).To(Equal([]string{"b", "c", "d"}))
	})

	It("fails where the partition ends before what was read", func() {
		_, err := durable.ReadToEnd(ctx, durable.NewMemory(), partition, 5, func([]byte) {})
		Expect(err).To(HaveOccurred())
	})
})
