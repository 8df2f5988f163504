package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/magpielug/magpielug/internal/ledger"
)

func BenchmarkReserveSettle(b *testing.B) {
	var escrow ledger.Escrow
	escrow.RaiseGranted(1 << 62)
	price := ledger.Price{Prompt: 150, Output: 600}
	b.ReportAllocs()
	for b.Loop() {
		reserved := price.Cost(4000, 500)
		if failure := escrow.Reserve(reserved); failure != nil {
			b.Fatal(failure)
		}
		if _, failure := escrow.Settle(reserved, price.Cost(4000, 412)); failure != nil {
			b.Fatal(failure)
		}
	}
}

// BenchmarkTopUp measures one grant on an account with holderCount holders.
func BenchmarkTopUp(b *testing.B) {
	for _, holderCount := range []uint32{16, 256, 1024} {
		b.Run(fmt.Sprintf("holders=%d", holderCount), func(b *testing.B) {
			account := filledAccount(holderCount)
			shard := uint32(0)
			b.ReportAllocs()
			for b.Loop() {
				granted := account.Granted(shard)
				account.Grant(shard, granted+1)
				shard = (shard + 1) % holderCount
			}
		})
	}
}

// BenchmarkAccountSize reports the heap and snapshot size of an account.
func BenchmarkAccountSize(b *testing.B) {
	for _, holderCount := range []uint32{16, 256, 1024} {
		b.Run(fmt.Sprintf("holders=%d", holderCount), func(b *testing.B) {
			const accountCount = 1000
			accounts := make([]*ledger.Account, accountCount)
			before := heapBytes()
			for index := range accounts {
				accounts[index] = filledAccount(holderCount)
			}
			held := heapBytes() - before
			record := proto.Size(accounts[0].Record("tenant-000", "gold"))
			for b.Loop() {
				runtime.KeepAlive(accounts)
			}
			b.ReportMetric(float64(held)/accountCount, "heap-B/account")
			b.ReportMetric(float64(record), "snapshot-B/account")
		})
	}
}

func filledAccount(holderCount uint32) *ledger.Account {
	account := ledger.NewAccount(1 << 62)
	for shard := range holderCount {
		account.Grant(shard, 1_000_000)
	}
	return account
}

func heapBytes() uint64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}
