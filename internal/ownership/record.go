package ownership

import (
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/spending"
	"google.golang.org/protobuf/proto"
)

func encodeCeilings(ceilings []spending.Ceiling) []byte {
	record := &nodev1.SpendingRecord{}
	now := time.Now().UnixMilli()
	for _, ceiling := range ceilings {
		record.Ceilings = append(record.Ceilings, &nodev1.Ceiling{
			Program:       ceiling.Program,
			Tokens:        ceiling.Tokens,
			Settled:       ceiling.Settled,
			WrittenUnixMs: now,
		})
	}
	return marshal(record)
}

func encodeAccount(account spending.Account) *nodev1.Account {
	message := &nodev1.Account{
		Program: account.Program,
		Spent:   account.Spent,
		Doubt:   account.Doubt,
		Ceiling: account.Ceiling,
		Largest: account.Largest,
	}
	for _, turn := range account.Open {
		message.Open = append(message.Open, &nodev1.OpenTurn{
			Key:        turn.Request,
			Most:       turn.Most,
			TimeLeftMs: time.Until(turn.Until).Milliseconds(),
		})
	}
	return message
}

func decodeAccounts(messages []*nodev1.Account) []spending.Account {
	accounts := make([]spending.Account, 0, len(messages))
	for _, message := range messages {
		account := spending.Account{
			Program: message.Program,
			Spent:   message.Spent,
			Doubt:   message.Doubt,
			Ceiling: message.Ceiling,
			Largest: message.Largest,
		}
		for _, turn := range message.Open {
			account.Open = append(account.Open, spending.OpenTurn{
				Request: turn.Key,
				Most:    turn.Most,
				Until:   time.Now().Add(time.Duration(turn.TimeLeftMs) * time.Millisecond),
			})
		}
		accounts = append(accounts, account)
	}
	return accounts
}

func marshal(record proto.Message) []byte {
	content, err := proto.Marshal(record)
	if err != nil {
		panic(err) // Only invalid text fails to marshal, and ids are checked before.
	}
	return content
}
