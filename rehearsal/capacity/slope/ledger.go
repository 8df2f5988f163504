package slope

import (
	"fmt"
	"runtime"

	"github.com/magpielug/magpielug/internal/ledger"
)

const (
	// reservations is how many calls are averaged.
	reservations = 1_000_000
	// accounts is how many accounts the memory is averaged over.
	accounts = 1_000
	// grantedMicros is enough for all of them.
	grantedMicros = 1 << 62
)

// holderCounts are the sizes at which an account's memory is measured.
var holderCounts = []uint32{16, 256, 1_024}

// measureLedger measures a call's reservation and an account's memory.
func measureLedger() ([]Measurement, error) {
	reserving, err := reservationMicroseconds()
	if err != nil {
		return nil, err
	}
	holders := Measurement{Name: "account_holder_bytes", Sizes: fmt.Sprint(holderCounts, " holders"), Unit: "B"}
	for _, count := range holderCounts {
		before := heapBytes()
		held := make([]*ledger.Account, accounts)
		for index := range held {
			held[index] = filledAccount(count)
		}
		grown := heapBytes() - before
		runtime.KeepAlive(held)
		holders.Values = append(holders.Values, grown/accounts/float64(count))
	}
	return []Measurement{{Name: "reserve_us", Values: []float64{reserving}, Unit: "µs"}, holders}, nil
}

func reservationMicroseconds() (float64, error) {
	var escrow ledger.Escrow
	escrow.RaiseGranted(grantedMicros)
	price := ledger.Price{Prompt: 150, Output: 600}
	return microsecondsEach(reservations, func() error {
		reserved := price.Cost(promptTokens, maxTokens)
		if failure := escrow.Reserve(reserved); failure != nil {
			return failure
		}
		if _, failure := escrow.Settle(reserved, price.Cost(promptTokens, outputTokens)); failure != nil {
			return failure
		}
		return nil
	})
}

func filledAccount(holders uint32) *ledger.Account {
	account := ledger.NewAccount(grantedMicros)
	for number := range holders {
		account.Grant(number, total)
	}
	return account
}
