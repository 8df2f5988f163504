package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/rehearsal/relay"
)

const (
	zones      = 2
	heldBack   = 100 * time.Millisecond
	longEnough = 10 * time.Second
)

// echo answers what it is sent, line by line.
func echo(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer connection.Close()
			_, _ = io.Copy(connection, connection)
		}()
	}
}

func listen(host string) net.Listener {
	listener, err := net.Listen("tcp", host+":0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

var _ = Describe("relays", func() {
	It("hold the bytes of a cut back, for open and new connections, until it is healed", func() {
		target := listen("127.2.0.250")
		defer target.Close()
		go echo(target)
		free := listen("127.2.0.251")
		address := free.Addr().String()
		Expect(free.Close()).To(Succeed())
		network := relay.NewNetwork()
		defer network.Close()
		Expect(network.Relay(address, target.Addr().String())).To(Succeed())

		lines := make(chan string, 8)
		dial := func() net.Conn {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.1.0.250")}}
			connection, err := dialer.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			go func() {
				for scanner := bufio.NewScanner(connection); scanner.Scan(); {
					lines <- scanner.Text()
				}
			}()
			return connection
		}
		open := dial()
		defer open.Close()
		fmt.Fprintln(open, "before")
		Eventually(lines, longEnough).Should(Receive(Equal("before")))

		network.CutZone(1, zones, false)
		fmt.Fprintln(open, "held")
		fresh := dial()
		defer fresh.Close()
		fmt.Fprintln(fresh, "held")
		Consistently(lines, heldBack).ShouldNot(Receive())

		network.HealZone(1, zones, false)
		Eventually(lines, longEnough).Should(Receive(Equal("held")))
		Eventually(lines, longEnough).Should(Receive(Equal("held")))
	})
})
