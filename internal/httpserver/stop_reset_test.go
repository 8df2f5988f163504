package httpserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// callUntilRefused sends one request after another, each on a new connection, until the server
// refuses connections. It returns how many requests on established connections failed.
func callUntilRefused(address string) (failures int) {
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		client, err := net.DialTimeout("tcp", address, testTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return failures
		}
		if err != nil {
			continue // Not established.
		}
		err = exchangeOnce(client)
		if err != nil {
			GinkgoWriter.Printf("failed: %v\n", err)
			failures++
		}
		_ = client.Close()
	}
	return failures
}

var _ = Describe("A listener that stops", func() {
	BeforeEach(func() { useTLS = false })

	// Guards against connections that are established between the last accept and the close of the
	// listening socket, which resets them.
	It("resets no connection that it has established", func() {
		const servers = 50
		const clients = 16
		const serversAtOnce = 10
		var failed atomic.Int64
		slots := make(chan struct{}, serversAtOnce)
		var running sync.WaitGroup
		for range servers {
			slots <- struct{}{}
			server := start(echo, Limits{FirstRequestGrace: testTimeout})
			for range clients {
				running.Go(func() { failed.Add(int64(callUntilRefused(server.Address()))) })
			}
			running.Go(func() {
				defer GinkgoRecover()
				defer func() { <-slots }()
				time.Sleep(2 * time.Millisecond)
				Expect(server.Shutdown(context.Background())).To(Succeed())
			})
		}
		running.Wait()
		Expect(failed.Load()).To(BeZero())
	})
})
