package configuration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"google.golang.org/protobuf/proto"
)

// Snapshot is one version of the configuration with lookup indexes. It is immutable.
type Snapshot struct {
	version       uint64
	configuration *operatorv1.Configuration
	keys          []tierKey
	tiers         map[tierName]*operatorv1.Tier
	services      map[string]*operatorv1.Service
	kinds         map[string]*operatorv1.ProgramKind
	drained       map[string]bool
}

type tierName struct{ tenant, name string }

type tierKey struct {
	digest [sha256.Size]byte
	tier   *operatorv1.Tier
}

// NewSnapshot indexes a configuration, which must not be modified afterwards.
func NewSnapshot(version uint64, configuration *operatorv1.Configuration) *Snapshot {
	snapshot := &Snapshot{
		version:       version,
		configuration: configuration,
		tiers:         make(map[tierName]*operatorv1.Tier),
		services:      make(map[string]*operatorv1.Service),
		kinds:         make(map[string]*operatorv1.ProgramKind),
		drained:       make(map[string]bool),
	}
	for _, tier := range configuration.GetTiers() {
		snapshot.addTier(tier)
	}
	for _, service := range configuration.GetServices() {
		snapshot.services[service.GetName()] = service
	}
	for _, kind := range configuration.GetProgramKinds() {
		snapshot.kinds[kind.GetName()] = kind
	}
	for _, backEnd := range configuration.GetDrainedBackEnds() {
		snapshot.drained[backEnd] = true
	}
	return snapshot
}

// decodeSnapshot decodes and indexes a configuration.
func decodeSnapshot(version uint64, content []byte) (*Snapshot, error) {
	configuration := &operatorv1.Configuration{}
	err := proto.Unmarshal(content, configuration)
	if err != nil {
		return nil, fmt.Errorf("decode configuration version %d: %w", version, err)
	}
	return NewSnapshot(version, configuration), nil
}

func (snapshot *Snapshot) addTier(tier *operatorv1.Tier) {
	snapshot.tiers[tierName{tier.GetTenant(), tier.GetName()}] = tier
	key := tierKey{tier: tier}
	length, err := hex.Decode(key.digest[:], []byte(tier.GetKeySha256()))
	if err == nil && length == sha256.Size {
		snapshot.keys = append(snapshot.keys, key)
	}
}

// Version returns the configuration's version.
func (snapshot *Snapshot) Version() uint64 { return snapshot.version }

// Configuration returns the complete configuration. Callers must not modify it.
func (snapshot *Snapshot) Configuration() *operatorv1.Configuration { return snapshot.configuration }

// TierByKey returns the tier of a caller's API key. It compares the SHA-256 digest with
// those of all tiers in constant time, so that its duration reveals nothing about keys.
func (snapshot *Snapshot) TierByKey(key string) (*operatorv1.Tier, bool) {
	digest := sha256.Sum256([]byte(key))
	var found *operatorv1.Tier
	for index := range snapshot.keys {
		candidate := &snapshot.keys[index]
		if subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1 {
			found = candidate.tier
		}
	}
	return found, found != nil
}

// Tier returns a tenant's tier by name.
func (snapshot *Snapshot) Tier(tenant, name string) (*operatorv1.Tier, bool) {
	tier, found := snapshot.tiers[tierName{tenant, name}]
	return tier, found
}

// Service returns a model or tool service by name.
func (snapshot *Snapshot) Service(name string) (*operatorv1.Service, bool) {
	service, found := snapshot.services[name]
	return service, found
}

// Kind returns a program kind by name.
func (snapshot *Snapshot) Kind(name string) (*operatorv1.ProgramKind, bool) {
	kind, found := snapshot.kinds[name]
	return kind, found
}

// Policy returns the scheduling policy; empty, never nil, if none is configured.
func (snapshot *Snapshot) Policy() *operatorv1.SchedulingPolicy {
	policy := snapshot.configuration.GetScheduling()
	if policy == nil {
		return &operatorv1.SchedulingPolicy{}
	}
	return policy
}

// Drained reports whether operators have drained a back end.
func (snapshot *Snapshot) Drained(backEnd string) bool { return snapshot.drained[backEnd] }
