package httpserver

import (
	"sync"

	"github.com/magpielug/magpielug/internal/heldbytes"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("bytes counted while their connection closes", func() {
	const rounds = 20_000

	serverWith := func(limits Limits) *Server {
		server := &Server{}
		server.limits.Store(&limits)
		return server
	}

	// beside runs two functions at once.
	beside := func(left, right func()) {
		both := sync.WaitGroup{}
		both.Go(left)
		both.Go(right)
		both.Wait()
	}

	It("are given back of requests", func() {
		bound := heldbytes.New(1 << 40)
		server := serverWith(Limits{Sent: bound})
		for range rounds {
			sent := &sentBytes{}
			beside(func() { sent.take(server, 1) }, func() { sent.close(server) })
		}
		Expect(bound.InUse()).To(BeZero())
	})

	It("are given back of answers", func() {
		bound := heldbytes.New(1 << 40)
		server := serverWith(Limits{Unread: bound})
		for range rounds {
			unread := &unreadBytes{}
			beside(func() { unread.add(server, 1) }, func() { unread.close(server) })
		}
		Expect(bound.InUse()).To(BeZero())
	})
})
