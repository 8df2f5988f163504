package history_test

import (
	"context"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

var _ = Describe("Turns of tenants", func() {
	ctx := context.Background()

	turnOf := func(tenant, id, previous, input string) *history.Turn {
		created := turn(id, previous, input, "said\n")
		created.Tenant = tenant
		return created
	}

	find := func(log durable.Log, tenant, id string) history.LookupResult {
		found, err := history.NewReader(log, history.NewStore(1<<20), shards).Find(ctx, 0, history.Key{Tenant: tenant, ID: id})
		Expect(err).NotTo(HaveOccurred())
		return found
	}

	It("are found only by their own tenant", func() {
		log := durable.NewMemory()
		recorder := history.NewRecorder(log, shards)
		Expect(recorder.Record(ctx, 0, turnOf("a", "1", "", "first"))).To(Succeed())
		Expect(recorder.Record(ctx, 2, turnOf("a", "2", "1", "second"))).To(Succeed())
		Expect(find(log, "a", "2").Chain).To(HaveLen(2))
		Expect(find(log, "b", "2").Found).To(BeFalse())
		Expect(find(log, "", "2").Found).To(BeFalse())
	})

	It("are separate if two tenants use the same ID", func() {
		log := durable.NewMemory()
		recorder := history.NewRecorder(log, shards)
		Expect(recorder.Record(ctx, 0, turnOf("a", "1", "", "of a"))).To(Succeed())
		Expect(recorder.Record(ctx, 0, turnOf("b", "1", "", "of b"))).To(Succeed())
		Expect(string(find(log, "a", "1").Chain[0].Input)).To(Equal("of a"))
		Expect(string(find(log, "b", "1").Chain[0].Input)).To(Equal("of b"))
	})

	It("continue turns recorded by a node without tenant support", func() {
		log := durable.NewMemory()
		// Such a node does not set the tenant.
		record, err := proto.Marshal(&nodev1.Turn{Id: "1", Program: "p", Input: []byte("first"), Output: []byte("said\n"),
			EndedUnixMs: turn("1", "", "", "").EndedAt.UnixMilli(), RetentionMs: 60_000})
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(ctx, durable.Partition{Topic: history.Topic, Number: 0}, [][]byte{record}, durable.Condition{})
		Expect(err).NotTo(HaveOccurred())
		Expect(history.NewRecorder(log, shards).Record(ctx, 0, turnOf("a", "2", "1", "second"))).To(Succeed())
		Expect(find(log, "a", "2").Chain).To(HaveLen(2))
	})
})
