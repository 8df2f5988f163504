// Package configuration follows the operators' configuration through the
// platform's log: which change is in force, whether that is certainly current,
// and how a change is published.
package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"google.golang.org/protobuf/proto"
)

// decidedMemory is how many decided changes the register remembers. It is part
// of the rule that every reader follows, so it must be alike in all processes.
const decidedMemory = 256

// Verdict is what the register says to one record.
type Verdict int

// Verdicts.
const (
	// VerdictUnreadable is a record that is no Change, or one that was read
	// before; it changes nothing.
	VerdictUnreadable Verdict = iota
	// VerdictAccepted puts the record's content in force.
	VerdictAccepted
	// VerdictConflict is a change whose base is not the version in force.
	VerdictConflict
	// VerdictRepeated is a change decided before; its first answer stands.
	VerdictRepeated
	// VerdictReused is a change id that was decided with another content.
	VerdictReused
)

// Decision is the register's answer to one record.
type Decision struct {
	Verdict  Verdict
	ChangeID string
	// Version in force after the record.
	Version uint64
}

// Register is the configuration as the stream's order makes it. Its state
// depends on the records before NextOffset alone, so any two readers that have
// read equally far hold the same. It has no lock, clock or socket.
//
// Invariant: the version only rises, by one for each accepted change.
type Register struct {
	nextOffset uint64
	version    uint64
	content    []byte
	// decided holds the latest decided changes, oldest first.
	decided []*configurationv1.DecidedChange
}

// NewRegister returns the register before the stream's first record.
func NewRegister() *Register { return &Register{} }

// Version returns the version in force; 0 before the first accepted change.
func (register *Register) Version() uint64 { return register.version }

// NextOffset returns the offset of the first record not read.
func (register *Register) NextOffset() uint64 { return register.nextOffset }

// Content returns the encoded configuration in force. It must not be changed.
func (register *Register) Content() []byte { return register.content }

// Step reads the record at offset. Records must come in the stream's order;
// one that was read before is skipped with the verdict VerdictUnreadable.
func (register *Register) Step(offset uint64, record []byte) Decision {
	if offset < register.nextOffset {
		return Decision{Verdict: VerdictUnreadable, Version: register.version}
	}
	register.nextOffset = offset + 1
	var change configurationv1.Change
	err := proto.Unmarshal(record, &change)
	if err != nil || !readable(&change) {
		return Decision{Verdict: VerdictUnreadable, Version: register.version}
	}
	verdict := register.decide(&change)
	return Decision{Verdict: verdict, ChangeID: change.GetChangeId(), Version: register.version}
}

// readable tells whether a change has an id and a content that decodes.
// Nothing else about the content is judged here: rules change between versions
// of the program, and all readers must judge alike.
func readable(change *configurationv1.Change) bool {
	if change.GetChangeId() == "" {
		return false
	}
	return proto.Unmarshal(change.GetContent(), &operatorv1.Configuration{}) == nil
}

func (register *Register) decide(change *configurationv1.Change) Verdict {
	digest := changeDigest(change)
	earlier := register.Decided(change.GetChangeId())
	switch {
	case earlier != nil && bytes.Equal(earlier.GetDigest(), digest):
		return VerdictRepeated
	case earlier != nil:
		return VerdictReused
	case change.GetBaseVersion() != register.version:
		register.remember(change, digest, configurationv1.Outcome_OUTCOME_CONFLICT)
		return VerdictConflict
	}
	register.version++
	register.content = change.GetContent()
	register.remember(change, digest, configurationv1.Outcome_OUTCOME_ACCEPTED)
	return VerdictAccepted
}

func (register *Register) remember(change *configurationv1.Change, digest []byte, outcome configurationv1.Outcome) {
	register.decided = append(register.decided, &configurationv1.DecidedChange{
		ChangeId: change.GetChangeId(),
		Digest:   digest,
		Outcome:  outcome,
		Version:  register.version,
	})
	if len(register.decided) > decidedMemory {
		register.decided = slices.Clone(register.decided[1:])
	}
}

// Decided returns what was decided on a change, or nil while it is not read or
// no longer remembered.
func (register *Register) Decided(changeID string) *configurationv1.DecidedChange {
	for _, candidate := range register.decided {
		if candidate.GetChangeId() == changeID {
			return candidate
		}
	}
	return nil
}

// Round returns the whole state for a peer.
func (register *Register) Round() *configurationv1.Round {
	return &configurationv1.Round{
		NextOffset: register.nextOffset,
		Version:    register.version,
		Content:    register.content,
		Decided:    slices.Clone(register.decided),
	}
}

// Adopt takes a peer's state where it has read further, and tells whether it
// did. A round that would lower the version is refused.
func (register *Register) Adopt(round *configurationv1.Round) bool {
	further := round.GetNextOffset() > register.nextOffset
	if !further || round.GetVersion() < register.version {
		return false
	}
	register.nextOffset = round.GetNextOffset()
	register.version = round.GetVersion()
	register.content = round.GetContent()
	register.decided = slices.Clone(round.GetDecided())
	return true
}

// changeDigest is the SHA-256 over base version and content.
func changeDigest(change *configurationv1.Change) []byte {
	hash := sha256.New()
	_ = binary.Write(hash, binary.BigEndian, change.GetBaseVersion())
	hash.Write(change.GetContent())
	return hash.Sum(nil)
}

// String names the verdict for logs.
func (verdict Verdict) String() string {
	switch verdict {
	case VerdictAccepted:
		return "accepted"
	case VerdictConflict:
		return "conflict"
	case VerdictRepeated:
		return "repeated"
	case VerdictReused:
		return "reused"
	default:
		return "unreadable"
	}
}
