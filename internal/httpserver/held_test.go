package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/heldbytes"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("bytes held for all callers together", func() {
	It("holds no more of answers than the bound, however many clients don't read, and serves one that does", func() {
		const clients = 24
		const bound = 1 << 20
		unread := heldbytes.New(bound)
		piece := content(1, 32<<10)
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/short" {
				_, _ = writer.Write(piece)
				return
			}
			for {
				_, err := writer.Write(piece)
				if err != nil {
					return
				}
			}
		}, Limits{WriteBufferBytes: 512 << 10, WriteTimeout: patience, Unread: unread})
		var open []net.Conn
		for range clients {
			silent := dial(server)
			fmt.Fprint(silent, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			open = append(open, silent)
		}
		Eventually(unread.InUse, patience).Should(BeNumerically(">", bound/4))
		slack := int64(clients * writePiece)
		Consistently(unread.InUse, 300*time.Millisecond).Should(BeNumerically("<=", bound+slack))
		answer, err := newClient().Get("http://" + server.Address() + "/short")
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(len(piece)))
		for _, each := range open {
			Expect(each.Close()).To(Succeed())
		}
		Eventually(unread.InUse, patience).Should(BeZero())
	})

	It("refuses a body beyond the bound as not run, and takes it once others have ended", func() {
		sent := heldbytes.New(100_000)
		entered := make(chan struct{}, 4)
		leave := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			entered <- struct{}{}
			<-leave
		}, Limits{Sent: sent})
		post := func() (*http.Response, error) {
			return newClient().Post("http://"+server.Address(), "text/plain", strings.NewReader(string(content(1, 80_000))))
		}
		first := make(chan error, 1)
		go func() {
			_, err := post()
			first <- err
		}()
		Eventually(entered, patience).Should(Receive())
		answer, err := post()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(errorOf(answer.Body).Code).To(Equal(resultcode.TooManyConnections))
		Expect(entered).NotTo(Receive(), "the refused request ran")
		close(leave)
		Eventually(first, patience).Should(Receive(BeNil()))
		Eventually(sent.InUse, patience).Should(BeZero())
		answer, err = post()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
	})

	It("gives back each request of a connection with its answer, and drops none for a further one", func() {
		sent := heldbytes.New(100_000)
		leave := make(chan struct{})
		server := start(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			<-leave
		}, Limits{Sent: sent})
		caller := dial(server)
		const length = 60_000
		for range 2 {
			fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, content(1, length))
		}
		Eventually(sent.InUse, patience).Should(BeNumerically(">", 2*length))
		answers := bufio.NewReader(caller)
		for left := range 2 {
			leave <- struct{}{}
			answer, err := http.ReadResponse(answers, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			Expect(io.Copy(io.Discard, answer.Body)).To(BeZero())
			Eventually(sent.InUse, patience).Should(BeNumerically("<", (2-left)*length))
		}
		Eventually(sent.InUse, patience).Should(BeZero())
	})

	It("forgets what a caller sent that left in the middle of its body", func() {
		sent := heldbytes.New(100_000)
		server := start(echo, Limits{Sent: sent})
		half := dial(server)
		fmt.Fprintf(half, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n%s", content(1, 50_000))
		Eventually(sent.InUse, patience).Should(BeNumerically(">", 0))
		Expect(half.Close()).To(Succeed())
		Eventually(sent.InUse, patience).Should(BeZero())
	})
})
