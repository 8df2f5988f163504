package relay_test

import (
	"net"
	"time"

	"github.com/magpielug/magpielug/rehearsal/relay"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Door", func() {
	const patience = 5 * time.Second
	const quiet = 50 * time.Millisecond
	var door *relay.Door
	var connection net.Conn

	BeforeEach(func() {
		target := listen("127.0.0.1")
		DeferCleanup(target.Close)
		go echo(target)
		var err error
		door, err = relay.OpenDoor("127.0.0.1:0", target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(door.Close)
		connection, err = net.Dial("tcp", door.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
	})

	say := func(text string) {
		_, err := connection.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	hear := func(within time.Duration) (string, error) {
		Expect(connection.SetReadDeadline(time.Now().Add(within))).To(Succeed())
		buffer := make([]byte, 64)
		count, err := connection.Read(buffer)
		return string(buffer[:count]), err
	}

	It("passes bytes both ways", func() {
		say("hello\n")
		Expect(hear(patience)).To(Equal("hello\n"))
	})

	It("holds everything while it is silent, and nothing is lost", func() {
		door.Set(relay.Mode{Silent: true})
		say("held\n")
		_, err := hear(quiet)
		Expect(err).To(HaveOccurred())
		door.Set(relay.Mode{})
		Expect(hear(patience)).To(Equal("held\n"))
	})

	It("holds what comes back while it is mute", func() {
		door.Set(relay.Mode{Mute: true})
		say("one way\n")
		_, err := hear(quiet)
		Expect(err).To(HaveOccurred())
		door.Set(relay.Mode{})
		Expect(hear(patience)).To(Equal("one way\n"))
	})

	It("resets open and new connections", func() {
		say("hello\n")
		Expect(hear(patience)).To(Equal("hello\n"))
		door.Set(relay.Mode{Resets: true})
		_, err := hear(patience)
		Expect(err).To(MatchError(ContainSubstring("reset")))
		again, err := net.Dial("tcp", door.Address())
		if err == nil {
			_, err = again.Read(make([]byte, 1))
			_ = again.Close()
		}
		Expect(err).To(HaveOccurred())
	})
})
