package node

import (
	"context"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/streamversion"
	. "github.com/onsi/gomega"
)

// Guards against nodes that do not respond in time, since they are short of processor time, being sent ever more.
func TestOriginsAreSentToNoNodeAgainWhereOthersDoNotRespond(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const streams = 40
		fleet := newLossFleet(t, 60, 4)
		for number := 20; number < 60; number++ {
			fleet.freeze(fleet.nodes[number].settings.Name)
		}
		for number := range streams {
			begin(fleet.nodes[0], number)
			time.Sleep(2 * keepOriginsTimeout)
		}
		time.Sleep(time.Minute)
		t.Logf("%d messages for %d streams", fleet.messages.Load(), streams)
		NewWithT(t).Expect(fleet.messages.Load()).To(BeNumerically("<=", streams*(streamversion.Copies+maxRedirects)))
	})
}

// Guards against what a node sends growing with the number of nodes that do not respond.
func TestProbesOfNodesThatDoNotRespondAreLimited(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const seconds = 10
		fleet := newLossFleet(t, 390, 4)
		node := fleet.nodes[0]
		for _, other := range fleet.nodes[1:] {
			fleet.freeze(other.settings.Name)
			node.quarantine.sharing.silent.recordSilence(other.settings.Name, time.Now())
		}
		ctx, stop := context.WithCancel(context.Background())
		go node.quarantine.sharing.probeSilent(ctx)
		time.Sleep(seconds * time.Second)
		stop()
		time.Sleep(time.Second) // The last probes end.
		t.Logf("%d probes in %d s", fleet.messages.Load(), seconds)
		NewWithT(t).Expect(fleet.messages.Load()).To(BeNumerically("<=", seconds*10), "12 KB a second are for all control messages of a node")
	})
}
