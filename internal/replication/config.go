package replication

import (
	"errors"
	"time"
)

// Defaults of Config.
const (
	defaultHeartbeatInterval  = 250 * time.Millisecond
	defaultLeaseDuration      = 900 * time.Millisecond
	defaultElectionTimeoutMin = 1000 * time.Millisecond
	defaultElectionTimeoutMax = 2000 * time.Millisecond
	defaultGroupSize          = 3
	defaultMaxAppendBytes     = 256 << 10
	defaultMaxInflightEntries = 1024
	defaultKeepEntries        = 256
	defaultSnapshotChunkBytes = 256 << 10
	defaultMaxBacklogBytes    = 16 << 20
)

// minLeaseMargin is the least part of ElectionTimeoutMin by which the lease
// must be shorter. With a tenth, the lease is exclusive as long as no two
// clocks' rates differ by more than a tenth.
const minLeaseMargin = 0.1

// ErrBadConfig says that a Config can't work or would not be safe.
var ErrBadConfig = errors.New("bad replication config")

// Config holds the timing and the bounds of a replica. All replicas of a group
// must have the same.
type Config struct {
	// HeartbeatInterval is how often a leader renews its lease. Heartbeats of
	// all replicas of a process fall due at the same multiples of it.
	HeartbeatInterval time.Duration
	// LeaseDuration counts from the sending of a heartbeat that a majority
	// answers. At most 0.9 of ElectionTimeoutMin.
	LeaseDuration time.Duration
	// ElectionTimeoutMin is for how long a replica that heard its leader gives
	// no vote to another. It campaigns between this and ElectionTimeoutMax.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// GroupSize is the number of voting members up to which a leader takes in
	// processes that ask to join.
	GroupSize int
	// MaxAppendBytes bounds the entries of one append message; a single larger
	// entry goes alone.
	MaxAppendBytes int
	// MaxInflightEntries bounds the entries sent to a member and not yet acknowledged.
	MaxInflightEntries int
	// KeepEntries is how many applied and archived entries stay in memory for
	// members that lag a little.
	KeepEntries int
	// SnapshotChunkBytes bounds one message of a snapshot.
	SnapshotChunkBytes int
	// MaxBacklogBytes bounds the entries that are not yet archived; Propose
	// refuses beyond it.
	MaxBacklogBytes int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:  defaultHeartbeatInterval,
		LeaseDuration:      defaultLeaseDuration,
		ElectionTimeoutMin: defaultElectionTimeoutMin,
		ElectionTimeoutMax: defaultElectionTimeoutMax,
		GroupSize:          defaultGroupSize,
		MaxAppendBytes:     defaultMaxAppendBytes,
		MaxInflightEntries: defaultMaxInflightEntries,
		KeepEntries:        defaultKeepEntries,
		SnapshotChunkBytes: defaultSnapshotChunkBytes,
		MaxBacklogBytes:    defaultMaxBacklogBytes,
	}
}

// Validate returns ErrBadConfig if the lease would not be exclusive or a bound
// is missing.
func (c Config) Validate() error {
	longestLease := time.Duration(float64(c.ElectionTimeoutMin) * (1 - minLeaseMargin))
	switch {
	case c.HeartbeatInterval <= 0,
		c.LeaseDuration <= c.HeartbeatInterval,
		c.LeaseDuration > longestLease,
		c.ElectionTimeoutMax <= c.ElectionTimeoutMin,
		c.GroupSize < 1,
		c.MaxAppendBytes < 1,
		c.MaxInflightEntries < 1,
		c.KeepEntries < 0,
		c.SnapshotChunkBytes < 1,
		c.MaxBacklogBytes < 1:
		return ErrBadConfig
	}
	return nil
}

// RebuildDelay is how long a claimant must wait between the proof that a
// majority of the old group's incarnations is gone and its claim: any lease
// that they helped to renew has ended by then.
func (c Config) RebuildDelay() time.Duration {
	return c.ElectionTimeoutMin
}
