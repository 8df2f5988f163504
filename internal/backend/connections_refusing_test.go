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

// listening is an address that takes connections.
func listening(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestFewConnectionsAreOpenedToAnEngineThatRefuses(t *testing.T) {
	expect := NewWithT(t)
	connections, address, other := NewConnectionPool(), listening(t), listening(t)
	connections.RecordRefusal(address, time.Now().Add(time.Hour))
	first, err := connections.Get(context.Background(), address, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	defer first.Close()
	_, err = connections.Get(context.Background(), address, 0)
	expect.Expect(err).To(MatchError(ErrTooManyConnections))
	elsewhere, err := connections.Get(context.Background(), other, 0)
	expect.Expect(err).NotTo(HaveOccurred(), "other engines don't refuse")
	defer elsewhere.Close()

	first.Release(time.Now().Add(time.Minute))
	kept, err := connections.Get(context.Background(), address, 0)
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(kept).To(BeIdenticalTo(first), "kept ones are used")
	expect.Expect(connections.OpenedCount()).To(Equal(int64(2)))
}

func TestPaceOfConnectionsWhileAnEngineRefuses(t *testing.T) {
	expect := NewWithT(t)
	connections := NewConnectionPool()
	opened := func(from, to time.Duration) int {
		count := 0
		for since := from; since < to; since += 10 * time.Millisecond {
			if connections.mayOpen("a", roomNow.Add(since)) {
				count++
			}
		}
		return count
	}
	expect.Expect(opened(0, time.Second)).To(Equal(100))
	connections.RecordRefusal("a", roomNow)
	expect.Expect(opened(0, refusingFor)).To(Equal(3))
	expect.Expect(opened(refusingFor+10*time.Millisecond, time.Second)).To(Equal(49), "it refuses no more")

	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable(string(feature.LoadBasedCapacity))).To(Succeed())
	connections.RecordRefusal("a", roomNow)
	expect.Expect(opened(0, refusingFor)).To(Equal(50))
}

func TestEnginesThatHaveLeftAreForgottenAfterTheirRefusals(t *testing.T) {
	expect := NewWithT(t)
	connections := NewConnectionPool()
	for number := range 100 {
		connections.RecordRefusal(fmt.Sprint("engine-", number), roomNow.Add(time.Duration(number)*time.Minute))
	}
	expect.Expect(connections.refusing).To(HaveLen(1))
}
