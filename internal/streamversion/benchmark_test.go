package streamversion

import (
	"fmt"
	"testing"
	"time"
)

// targetNodes and targetZones are those of one region at the target size.
const (
	targetNodes = 130
	targetZones = 2
)

func BenchmarkKeepers(b *testing.B) {
	nodes := fleet(targetNodes, targetZones)
	for number := range b.N {
		self := nodes[number%len(nodes)]
		Keepers(NewKey("tenant", fmt.Sprint(number)), nodes, self.Name, self.Zone)
	}
}

func BenchmarkTable(b *testing.B) {
	table := NewTable(time.Now())
	origin := Origin{Service: "models", Version: "v1"}
	for number := range b.N {
		table.Put(Record{Key: NewKey("tenant", fmt.Sprint(number)), Origin: origin}, time.Now())
	}
}
