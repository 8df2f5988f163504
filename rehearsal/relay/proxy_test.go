package relay_test

import (
	"net"
	"time"

	"github.com/magpielug/magpielug/rehearsal/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Proxy", func() {
	const readTimeout = 5 * time.Second
	const noDataWindow = 50 * time.Millisecond
	var proxy *relay.Proxy
	var connection net.Conn

	BeforeEach(func() {
		target := listen("127.0.0.1")
		DeferCleanup(target.Close)
		go echo(target)
		var err error
		proxy, err = relay.StartProxy("127.0.0.1:0", target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		connection, err = net.Dial("tcp", proxy.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
	})

	send := func(text string) {
		_, err := connection.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func(within time.Duration) (string, error) {
		Expect(connection.SetReadDeadline(time.Now().Add(within))).To(Succeed())
		buffer := make([]byte, 64)
		count, err := connection.Read(buffer)
		return string(buffer[:count]), err
	}

	It("passes bytes both ways", func() {
		send("hello\n")
		Expect(receive(readTimeout)).To(Equal("hello\n"))
	})

	It("stalls both directions without losing bytes", func() {
		proxy.SetFaults(relay.Faults{Stall: true})
		send("held\n")
		_, err := receive(noDataWindow)
		Expect(err).To(HaveOccurred())
		proxy.SetFaults(relay.Faults{})
		Expect(receive(readTimeout)).To(Equal("held\n"))
	})

	It("stalls responses without losing bytes", func() {
		proxy.SetFaults(relay.Faults{StallResponses: true})
		send("one way\n")
		_, err := receive(noDataWindow)
		Expect(err).To(HaveOccurred())
		proxy.SetFaults(relay.Faults{})
		Expect(receive(readTimeout)).To(Equal("one way\n"))
	})

	It("resets open and new connections", func() {
		send("hello\n")
		Expect(receive(readTimeout)).To(Equal("hello\n"))
		proxy.SetFaults(relay.Faults{Reset: true})
		_, err := receive(readTimeout)
		Expect(err).To(MatchError(ContainSubstring("reset")))
		again, err := net.Dial("tcp", proxy.Address())
		if err == nil {
			_, err = again.Read(make([]byte, 1))
			_ = again.Close()
		}
		Expect(err).To(HaveOccurred())
	})
})
