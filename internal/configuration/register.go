// Package configuration replicates the operators' configuration through the platform's
// log. It reads and publishes changes and determines whether a process has the newest
// version.
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

// maxDecided is the number of decided changes that the register stores. It affects
// decisions, so it must be the same in all processes.
const maxDecided = 256

// Verdict is the register's decision on one record.
type Verdict int

// Verdicts.
const (
	// VerdictUnreadable is a record that cannot be decoded or was already read. It has
	// no effect.
	VerdictUnreadable Verdict = iota
	// VerdictAccepted is a change that takes effect with a new version.
	VerdictAccepted
	// VerdictConflict is a change whose base version is not the version in force.
	VerdictConflict
	// VerdictRepeated is a change that was already decided; the first decision stays.
	VerdictRepeated
	// VerdictReused is a change whose id was already decided with other content.
	VerdictReused
)

// Decision is the result of applying one record.
type Decision struct {
	Verdict  Verdict
	ChangeID string
	// Version is the version in force after the record.
	Version uint64
}

// Register is the replicated state machine of the configuration. Its state depends only
// on the records before NextOffset, so all readers at the same offset have the same
// state. It is not safe for concurrent use.
//
// Invariant: the version never decreases and rises by one with each accepted change.
type Register struct {
	nextOffset uint64
	version    uint64
	content    []byte
	// decided holds the latest decided changes, oldest first.
	decided []*configurationv1.DecidedChange
}

// NewRegister returns the register at the start of the stream.
func NewRegister() *Register { return &Register{} }

// Version returns the version in force; 0 before the first accepted change.
func (register *Register) Version() uint64 { return register.version }

// NextOffset returns the offset of the first unread record.
func (register *Register) NextOffset() uint64 { return register.nextOffset }

// Content returns the encoded configuration in force. Callers must not modify it.
func (register *Register) Content() []byte { return register.content }

// Step applies the record at offset. Records must be applied in stream order; one that
// was already read is skipped with VerdictUnreadable.
func (register *Register) Step(offset uint64, record []byte) Decision {
	if offset < register.nextOffset {
		return Decision{Verdict: VerdictUnreadable, Version: register.version}
	}
	register.nextOffset = offset + 1
	var change configurationv1.Change
	err := proto.Unmarshal(record, &change)
	if err != nil || !isDecodable(&change) {
		return Decision{Verdict: VerdictUnreadable, Version: register.version}
	}
	verdict := register.decide(&change)
	return Decision{Verdict: verdict, ChangeID: change.GetChangeId(), Version: register.version}
}

// isDecodable reports whether a change has an id and its content can be decoded. It
// applies no other validation rules: they differ between software versions, and all
// readers must reach the same decision.
func isDecodable(change *configurationv1.Change) bool {
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
		register.recordDecision(change, digest, configurationv1.Outcome_OUTCOME_CONFLICT)
		return VerdictConflict
	}
	register.version++
	register.content = change.GetContent()
	register.recordDecision(change, digest, configurationv1.Outcome_OUTCOME_ACCEPTED)
	return VerdictAccepted
}

func (register *Register) recordDecision(change *configurationv1.Change, digest []byte, outcome configurationv1.Outcome) {
	register.decided = append(register.decided, &configurationv1.DecidedChange{
		ChangeId: change.GetChangeId(),
		Digest:   digest,
		Outcome:  outcome,
		Version:  register.version,
	})
	if len(register.decided) > maxDecided {
		register.decided = slices.Clone(register.decided[1:])
	}
}

// Decided returns the decision on a change; nil if the change has not been read or its
// decision has been discarded.
func (register *Register) Decided(changeID string) *configurationv1.DecidedChange {
	for _, candidate := range register.decided {
		if candidate.GetChangeId() == changeID {
			return candidate
		}
	}
	return nil
}

// Round returns the complete state, for transfer to a peer.
func (register *Register) Round() *configurationv1.Round {
	return &configurationv1.Round{
		NextOffset: register.nextOffset,
		Version:    register.version,
		Content:    register.content,
		Decided:    slices.Clone(register.decided),
	}
}

// Adopt replaces the state by a peer's if the peer has read further, and reports whether
// it did. A round with a lower version is rejected.
func (register *Register) Adopt(round *configurationv1.Round) bool {
	isAhead := round.GetNextOffset() > register.nextOffset
	if !isAhead || round.GetVersion() < register.version {
		return false
	}
	register.nextOffset = round.GetNextOffset()
	register.version = round.GetVersion()
	register.content = round.GetContent()
	register.decided = slices.Clone(round.GetDecided())
	return true
}

// changeDigest returns the SHA-256 digest of the base version and the content.
func changeDigest(change *configurationv1.Change) []byte {
	hash := sha256.New()
	_ = binary.Write(hash, binary.BigEndian, change.GetBaseVersion())
	hash.Write(change.GetContent())
	return hash.Sum(nil)
}

// String returns the name of the verdict as used in logs.
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
