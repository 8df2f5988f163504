package logservice

import (
	"context"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
)

func newTestLog(config Config) (*Log, *httpadapter.Log) {
	standIn := New(config)
	server := httptest.NewServer(standIn.Handler())
	pool, err := httpadapter.NewClient(httpadapter.Config{})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		pool.Close()
		server.Close()
	})
	return standIn, httpadapter.NewLog(pool, strings.TrimPrefix(server.URL, "http://"))
}

var _ = Describe("Log stand-in", func() {
	ctx := context.Background()

	It("stores the records of each stream in order from offset 0", func() {
		_, log := newTestLog(Config{})
		for offset, text := range []string{"a", "b", "c"} {
			Expect(log.Append(ctx, "one", []byte(text))).To(Equal(uint64(offset)))
		}
		Expect(log.Append(ctx, "two", []byte("x"))).To(BeZero())
		Expect(log.Read(ctx, "one", 1, 2)).To(Equal([]outside.Record{{Offset: 1, Data: []byte("b")}, {Offset: 2, Data: []byte("c")}}))
		Expect(log.Read(ctx, "one", 3, 2)).To(BeEmpty())
		Expect(log.Read(ctx, "none", 0, 2)).To(BeEmpty())
	})

	It("stores a record whose response was dropped, and none that it rejected", func() {
		standIn, log := newTestLog(Config{})
		Expect(standIn.Faults().Set(fault.Spec{Kind: fault.DropResponses, DurationMillis: 600_000})).To(Succeed())
		_, err := log.Append(ctx, "one", []byte("lost"))
		Expect(err).To(MatchError(outside.ErrOutcomeUnknown))
		Expect(standIn.Faults().Set(fault.Spec{Kind: fault.Clear})).To(Succeed())
		Expect(standIn.Faults().Set(fault.Spec{Kind: fault.Outage, DurationMillis: 600_000})).To(Succeed())
		_, err = log.Append(ctx, "one", []byte("refused"))
		Expect(err).To(MatchError(outside.ErrNotRun))
		Expect(standIn.Faults().Set(fault.Spec{Kind: fault.Clear})).To(Succeed())
		Expect(log.Read(ctx, "one", 0, 9)).To(Equal([]outside.Record{{Offset: 0, Data: []byte("lost")}}))
	})

	It("rejects an append beyond its size limit", func() {
		_, log := newTestLog(Config{MaxBytes: 3})
		_, err := log.Append(ctx, "one", []byte("1234"))
		Expect(err).To(MatchError(outside.ErrNotRun))
		_, err = log.Append(ctx, "", []byte("1"))
		Expect(err).To(MatchError(outside.ErrNotRun))
	})

	It("bounds the size of a read response", func() {
		_, log := newTestLog(Config{})
		for range 3 {
			_, err := log.Append(ctx, "one", make([]byte, maxReadBytes/2+1))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(log.Read(ctx, "one", 0, 3)).To(HaveLen(1))
	})
})
