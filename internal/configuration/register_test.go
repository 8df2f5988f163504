package configuration

import (
	"fmt"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func encode(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// encodeChange encodes a change whose content contains label.
func encodeChange(id string, base uint64, label string) []byte {
	content := encode(&operatorv1.Configuration{DrainedBackEnds: []string{label}})
	return encode(&configurationv1.Change{ChangeId: id, BaseVersion: base, Content: content})
}

var _ = Describe("Register", func() {
	It("decides changes in stream order", func() {
		register := NewRegister()
		steps := []struct {
			record  []byte
			verdict Verdict
			version uint64
		}{
			{encodeChange("a", 0, "1"), VerdictAccepted, 1},
			{encodeChange("b", 0, "2"), VerdictConflict, 1},
			{encodeChange("a", 0, "1"), VerdictRepeated, 1},
			{encodeChange("a", 1, "3"), VerdictReused, 1},
			{[]byte("rubbish"), VerdictUnreadable, 1},
			{encodeChange("", 1, "4"), VerdictUnreadable, 1},
			{encode(&configurationv1.Change{ChangeId: "c", BaseVersion: 1, Content: []byte("rubbish")}), VerdictUnreadable, 1},
			{encodeChange("b", 1, "2"), VerdictReused, 1},
			{encodeChange("d", 1, "5"), VerdictAccepted, 2},
		}
		for offset, step := range steps {
			decision := register.Step(uint64(offset), step.record)
			Expect(decision.Verdict).To(Equal(step.verdict), "record %d", offset)
			Expect(decision.Version).To(Equal(step.version), "record %d", offset)
		}
		Expect(register.Step(0, encodeChange("e", 2, "6")).Verdict).To(Equal(VerdictUnreadable))
		Expect(register.Version()).To(BeEquivalentTo(2))
	})

	It("does not adopt an older round or one with a lower version", func() {
		register := NewRegister()
		register.Step(0, encodeChange("a", 0, "1"))
		older := register.Round()
		register.Step(1, encodeChange("b", 1, "2"))
		Expect(register.Adopt(older)).To(BeFalse())
		lower := proto.CloneOf(older)
		lower.NextOffset = 9
		Expect(register.Adopt(lower)).To(BeFalse())
		Expect(register.Version()).To(BeEquivalentTo(2))
	})

	It("is the same in all readers at the same offset, whether they read or adopt", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			stream := generateStream(t)
			readers := []*Register{NewRegister(), NewRegister(), NewRegister()}
			for range rapid.IntRange(1, 3*len(stream)).Draw(t, "steps") {
				reader := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
				before := reader.Version()
				if rapid.Bool().Draw(t, "adopts") {
					peer := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "peer")]
					reader.Adopt(peer.Round())
				} else if reader.NextOffset() < uint64(len(stream)) {
					reader.Step(reader.NextOffset(), stream[reader.NextOffset()])
				}
				if reader.Version() < before {
					t.Fatalf("version decreased from %d to %d", before, reader.Version())
				}
			}
			reference := NewRegister()
			for offset, record := range stream {
				reference.Step(uint64(offset), record)
				for number, reader := range readers {
					if reader.NextOffset() == reference.NextOffset() && !proto.Equal(reader.Round(), reference.Round()) {
						t.Fatalf("reader %d differs at offset %d", number, offset)
					}
				}
			}
		})
	})
})

// generateStream generates a stream of conflicting, repeated and reused changes. Some
// streams have more changes than the register stores decisions.
func generateStream(t *rapid.T) [][]byte {
	count := rapid.SampledFrom([]int{5, 40, 3 * maxDecided}).Draw(t, "records")
	stream := make([][]byte, 0, count)
	reference := NewRegister()
	for offset := range count {
		id := fmt.Sprint(rapid.IntRange(0, count/2+1).Draw(t, "id"))
		base := reference.Version() - min(reference.Version(), uint64(rapid.IntRange(0, 1).Draw(t, "lag")))
		next := encodeChange(id, base, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "mark")))
		if offset > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			next = stream[rapid.IntRange(0, offset-1).Draw(t, "of")]
		}
		stream = append(stream, next)
		reference.Step(uint64(offset), next)
	}
	return stream
}
