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
	zones          = 2
	noDataWindow   = 100 * time.Millisecond
	receiveTimeout = 10 * time.Second
)

// echo sends back whatever it receives.
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

var _ = Describe("Network", func() {
	It("blocks open and new connections between partitioned zones until the partition heals", func() {
		target := listen("127.2.0.250")
		defer target.Close()
		go echo(target)
		reserved := listen("127.2.0.251")
		address := reserved.Addr().String()
		Expect(reserved.Close()).To(Succeed())
		network := relay.NewNetwork()
		defer network.Close()
		Expect(network.AddRelay(address, target.Addr().String())).To(Succeed())

		lines := make(chan string, 8)
		connect := func() net.Conn {
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
		open := connect()
		defer open.Close()
		fmt.Fprintln(open, "before")
		Eventually(lines, receiveTimeout).Should(Receive(Equal("before")))

		network.IsolateZone(1, zones, false)
		fmt.Fprintln(open, "held")
		opened := connect()
		defer opened.Close()
		fmt.Fprintln(opened, "held")
		Consistently(lines, noDataWindow).ShouldNot(Receive())

		network.HealZone(1, zones, false)
		Eventually(lines, receiveTimeout).Should(Receive(Equal("held")))
		Eventually(lines, receiveTimeout).Should(Receive(Equal("held")))
	})
})
