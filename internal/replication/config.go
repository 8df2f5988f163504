package replication

import (
	"errors"
	"time"
)

// Default values for Config.
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

// minLeaseMargin is the fraction of ElectionTimeoutMin by which the lease must be
// shorter. The lease is exclusive as long as clock rates differ by no more than
// this fraction.
const minLeaseMargin = 0.1

// ErrInvalidConfig means that a Config is incomplete or would be unsafe.
var ErrInvalidConfig = errors.New("invalid replication config")

// Config holds a replica's timing parameters and limits. All replicas of a group
// must use the same values.
type Config struct {
	// HeartbeatInterval is the interval at which a leader renews its lease. Heartbeats
	// of all replicas in a process are aligned to multiples of it.
	HeartbeatInterval time.Duration
	// LeaseDuration is counted from the sending of a message that a majority
	// acknowledges. It must not exceed 0.9 of ElectionTimeoutMin.
	LeaseDuration time.Duration
	// ElectionTimeoutMin is the time after contact with the leader during which a
	// replica grants no vote. The election timeout is random between this and
	// ElectionTimeoutMax.
	ElectionTimeoutMin time.Duration
	ElectionTimeoutMax time.Duration
	// GroupSize is the target number of voting members. Below it, a leader admits any
	// process that asks to join.
	GroupSize int
	// MaxAppendBytes limits the entries of one append message. A larger single entry
	// is sent alone.
	MaxAppendBytes int
	// MaxInflightEntries limits the unacknowledged entries sent to a member.
	MaxInflightEntries int
	// KeepEntries is the number of applied and archived entries kept in memory for
	// members that lag behind.
	KeepEntries int
	// SnapshotChunkBytes limits the data in one snapshot message.
	SnapshotChunkBytes int
	// MaxBacklogBytes limits the entries that are not yet archived. Propose fails
	// beyond it.
	MaxBacklogBytes int
}

// DefaultConfig returns the default configuration.
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

// Validate returns ErrInvalidConfig if the lease would not be exclusive or a limit
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
		return ErrInvalidConfig
	}
	return nil
}

// RebuildDelay is the time a claimant must wait between obtaining the proof that a
// majority of the previous group is gone and appending its claim. Any lease renewed
// by that majority has expired by then.
func (c Config) RebuildDelay() time.Duration {
	return c.ElectionTimeoutMin
}
