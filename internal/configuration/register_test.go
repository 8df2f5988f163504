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

// record encodes a change whose content is told apart by mark.
func record(id string, base uint64, mark string) []byte {
	content := encode(&operatorv1.Configuration{DrainedBackEnds: []string{mark}})
	return encode(&configurationv1.Change{ChangeId: id, BaseVersion: base, Content: content})
}

var _ = Describe("Register", func() {
	It("decides by the stream's order alone", func() {
		register := NewRegister()
		steps := []struct {
			record  []byte
			verdict Verdict
			version uint64
		}{
			{record("a", 0, "1"), VerdictAccepted, 1},
			{record("b", 0, "2"), VerdictConflict, 1},
			{record("a", 0, "1"), VerdictRepeated, 1},
			{record("a", 1, "3"), VerdictReused, 1},
			{[]byte("rubbish"), VerdictUnreadable, 1},
			{record("", 1, "4"), VerdictUnreadable, 1},
			{encode(&configurationv1.Change{ChangeId: "c", BaseVersion: 1, Content: []byte("rubbish")}), VerdictUnreadable, 1},
			{record("b", 1, "2"), VerdictReused, 1},
			{record("d", 1, "5"), VerdictAccepted, 2},
		}
		for offset, step := range steps {
			decision := register.Step(uint64(offset), step.record)
			Expect(decision.Verdict).To(Equal(step.verdict), "record %d", offset)
			Expect(decision.Version).To(Equal(step.version), "record %d", offset)
		}
		Expect(register.Step(0, record("e", 2, "6")).Verdict).To(Equal(VerdictUnreadable))
		Expect(register.Version()).To(BeEquivalentTo(2))
	})

	It("never adopts what is older or would lower the version", func() {
		register := NewRegister()
		register.Step(0, record("a", 0, "1"))
		older := register.Round()
		register.Step(1, record("b", 1, "2"))
		Expect(register.Adopt(older)).To(BeFalse())
		lower := proto.CloneOf(older)
		lower.NextOffset = 9
		Expect(register.Adopt(lower)).To(BeFalse())
		Expect(register.Version()).To(BeEquivalentTo(2))
	})

	It("is alike in all readers, however they read and adopt", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			stream := drawStream(t)
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
					t.Fatalf("version went back from %d to %d", before, reader.Version())
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

// drawStream makes a stream of racing, repeated and reused changes, longer
// than the register's memory at times.
func drawStream(t *rapid.T) [][]byte {
	count := rapid.SampledFrom([]int{5, 40, 3 * decidedMemory}).Draw(t, "records")
	stream := make([][]byte, 0, count)
	reference := NewRegister()
	for offset := range count {
		id := fmt.Sprint(rapid.IntRange(0, count/2+1).Draw(t, "id"))
		base := reference.Version() - min(reference.Version(), uint64(rapid.IntRange(0, 1).Draw(t, "lag")))
		next := record(id, base, fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "mark")))
		if offset > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			next = stream[rapid.IntRange(0, offset-1).Draw(t, "of")]
		}
		stream = append(stream, next)
		reference.Step(uint64(offset), next)
	}
	return stream
}
