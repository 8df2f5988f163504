package httpserver

import (
	"sync"

	"github.com/magpielug/magpielug/internal/heldbytes"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bytes counted while their connection closes", func() {
	const rounds = 20_000

	serverWith := func(limits Limits) *Server {
		server := &Server{}
		server.limits.Store(&limits)
		return server
	}

	// concurrently runs two functions at the same time and waits for both.
	concurrently := func(first, second func()) {
		group := sync.WaitGroup{}
		group.Go(first)
		group.Go(second)
		group.Wait()
	}

	It("are released for requests", func() {
		bound := heldbytes.New(1 << 40)
		server := serverWith(Limits{RequestBytes: bound})
		for range rounds {
			requests := &requestBytes{}
			concurrently(func() { requests.reserve(server, 1) }, func() { requests.close(server) })
		}
		Expect(bound.InUse()).To(BeZero())
	})

	It("are released for responses", func() {
		bound := heldbytes.New(1 << 40)
		server := serverWith(Limits{ResponseBytes: bound})
		for range rounds {
			responses := &responseBytes{}
			concurrently(func() { responses.add(server, 1) }, func() { responses.close(server) })
		}
		Expect(bound.InUse()).To(BeZero())
	})
})
