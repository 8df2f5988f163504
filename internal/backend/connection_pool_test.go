package backend

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	. "github.com/onsi/gomega"
)

// startListener returns the address of a listener that accepts connections.
func startListener(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestGetLimitsNewConnectionsToRefusingEngine(t *testing.T) {
	expect := NewWithT(t)
	pool, address, otherAddress := NewConnectionPool(), startListener(t), startListener(t)
	pool.RecordRefusal(address, time.Now().Add(time.Hour))
	first, err := pool.Get(context.Background(), address, Purpose{}, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	defer first.Close()
	_, err = pool.Get(context.Background(), address, Purpose{}, 0)
	expect.Expect(err).To(MatchError(ErrTooManyConnections))
	otherConnection, err := pool.Get(context.Background(), otherAddress, Purpose{}, 0)
	expect.Expect(err).NotTo(HaveOccurred(), "other engines are not affected")
	defer otherConnection.Close()

	first.Release(time.Now().Add(time.Minute))
	reused, err := pool.Get(context.Background(), address, Purpose{}, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(reused).To(BeIdenticalTo(first), "idle connections are reused")
	expect.Expect(pool.OpenedCount()).To(Equal(int64(2)))
}

func TestMayDialRateWhileEngineRefuses(t *testing.T) {
	expect := NewWithT(t)
	pool := NewConnectionPool()
	allowedDials := func(from, to time.Duration) int {
		count := 0
		for since := from; since < to; since += 10 * time.Millisecond {
			if pool.mayDial("a", testNow.Add(since)) {
				count++
			}
		}
		return count
	}
	expect.Expect(allowedDials(0, time.Second)).To(Equal(100))
	pool.RecordRefusal("a", testNow)
	expect.Expect(allowedDials(0, refusalWindow)).To(Equal(3))
	expect.Expect(allowedDials(refusalWindow+10*time.Millisecond, time.Second)).To(Equal(49), "the refusal window has passed")

	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable(string(feature.LoadBasedCapacity))).To(Succeed())
	pool.RecordRefusal("a", testNow)
	expect.Expect(allowedDials(0, refusalWindow)).To(Equal(50))
}

func TestExpiredRefusalsAreRemoved(t *testing.T) {
	expect := NewWithT(t)
	pool := NewConnectionPool()
	for number := range 100 {
		pool.RecordRefusal(fmt.Sprint("engine-", number), testNow.Add(time.Duration(number)*time.Minute))
	}
	expect.Expect(pool.refusals).To(HaveLen(1))
}

// Guards against a late copy of a refusal that is taken for the response to the request's next attempt.
func TestGetReturnsNoConnectionThatHasCarriedTheRequest(t *testing.T) {
	expect := NewWithT(t)
	pool, address := NewConnectionPool(), startListener(t)
	deadline := time.Now().Add(500 * time.Millisecond)
	get := func(request string, deadline time.Time) *Connection {
		connection, err := pool.Get(context.Background(), address, Purpose{Request: request, Deadline: deadline}, 0)
		expect.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(connection.Close)
		return connection
	}
	first := get("r1", deadline)
	first.Release(time.Now().Add(time.Minute))
	second := get("r1", deadline)
	expect.Expect(second).NotTo(BeIdenticalTo(first))
	for other := range 100 {
		expect.Expect(get(fmt.Sprint("other-", other), time.Now().Add(time.Minute))).To(BeIdenticalTo(first), "others reuse it")
		first.Release(time.Now().Add(time.Minute))
	}
	expect.Expect(get("r1", deadline)).NotTo(BeIdenticalTo(first), "however many requests in between")
}

// Guards against connections that remember requests for good.
func TestCarriedRequestsAreForgottenAfterTheirDeadlines(t *testing.T) {
	expect := NewWithT(t)
	var carried carriedRequests
	for number := range 1000 {
		at := testNow.Add(time.Duration(number) * 10 * time.Millisecond)
		carried.add(hashRequest(fmt.Sprint(number)), at.Add(time.Second), at)
		expect.Expect(len(carried.byHash)).To(BeNumerically("<=", 101))
		expect.Expect(len(carried.oldest)).To(Equal(len(carried.byHash)))
	}
	expect.Expect(carried.contains(hashRequest("999"))).To(BeTrue())
	expect.Expect(carried.contains(hashRequest("899"))).To(BeTrue())
	expect.Expect(carried.contains(hashRequest("898"))).To(BeFalse())
}

// Guards against requests sent on a connection on which surplus bytes arrive.
func TestGetLetsConnectionsRest(t *testing.T) {
	expect := NewWithT(t)
	pool, address := NewConnectionPool(), startListener(t)
	first, err := pool.Get(context.Background(), address, Purpose{}, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	defer first.Close()
	second, err := pool.Get(context.Background(), address, Purpose{}, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	defer second.Close()
	second.Release(time.Now().Add(time.Minute))
	time.Sleep(restTime)
	released := time.Now()
	first.Release(time.Now().Add(time.Minute))
	expect.Expect(pool.takeIdle(address, 0, released)).To(BeIdenticalTo(second), "one that has rested is preferred")
	reused, err := pool.Get(context.Background(), address, Purpose{}, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(reused).To(BeIdenticalTo(first))
	expect.Expect(time.Since(released)).To(BeNumerically(">=", restTime))
}
