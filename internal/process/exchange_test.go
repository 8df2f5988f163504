package process

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/outside"
)

// emptyLog is a log without records that counts reads.
type emptyLog struct{ reads atomic.Int64 }

func (log *emptyLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, outside.ErrNotRun
}

func (log *emptyLog) Read(context.Context, string, uint64, int) ([]outside.Record, error) {
	log.reads.Add(1)
	return nil, nil
}

var _ = Describe("configurationExchange", func() {
	var (
		log      *emptyLog
		exchange *configurationExchange
	)

	BeforeEach(func() {
		log = &emptyLog{}
		reader := configuration.NewReader(configuration.ReaderOptions{
			Log: log, Poll: time.Hour, FreshBound: time.Hour, ReadTimeout: time.Minute,
		})
		exchange = &configurationExchange{reader: reader}
	})

	It("compares every second while the log is silent, and less often while it responds", func() {
		start := time.Now()
		Expect(exchange.due(start)).To(BeTrue())
		Expect(exchange.due(start.Add(exchangeInterval))).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go exchange.reader.Run(ctx)
		Eventually(exchange.reader.LastLogRead, time.Minute).ShouldNot(BeZero())
		heard := exchange.reader.LastLogRead()
		exchange.lastCompared = heard
		Expect(exchange.due(heard.Add(exchangeLogTimeout - 1))).To(BeFalse())
		Expect(exchange.due(heard.Add(exchangeLogTimeout))).To(BeTrue())
		Expect(exchange.due(heard.Add(exchangeLogTimeout + exchangeInterval))).To(BeTrue())
	})

	It("reads the log at once when queried by a process with a newer version", func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go exchange.reader.Run(ctx)
		Eventually(log.reads.Load, time.Minute).Should(BeEquivalentTo(1))
		_, err := exchange.Compare(ctx, &configurationv1.CompareRequest{Version: 1})
		Expect(err).NotTo(HaveOccurred())
		Eventually(log.reads.Load, time.Minute).Should(BeEquivalentTo(2))
	})
})
