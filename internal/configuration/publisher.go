package configuration

import (
	"bytes"
	"context"
	"errors"
	"time"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
	"google.golang.org/protobuf/proto"
)

// settlePoll is how often an undecided change is looked for in the log.
const settlePoll = 50 * time.Millisecond

// appendRetry is how long an append of unknown outcome is looked for before the
// change is appended again.
const appendRetry = 250 * time.Millisecond

// unknownRetryAfter is when an operator may ask again for an unknown outcome.
const unknownRetryAfter = time.Second

// Publisher offers changes to the stream and tells how they were decided.
type Publisher struct {
	log    outside.Log
	reader *Reader
	// timeout bounds one publish.
	timeout time.Duration
	// appendTimeout bounds one append.
	appendTimeout time.Duration
}

// NewPublisher returns a publisher that settles its changes by reader, whose
// Run must be running.
func NewPublisher(log outside.Log, reader *Reader, timeout, appendTimeout time.Duration) *Publisher {
	return &Publisher{log: log, reader: reader, timeout: timeout, appendTimeout: appendTimeout}
}

// Publish offers a configuration and returns its version once it stands in the
// log and a majority of zones holds it. The same request again gets the same
// answer, at any process.
//
// Errors are *resultcode.Error: BadRequest, InvalidConfiguration,
// VersionConflict, ChangeIDReused and LogUnavailable (nothing changed), and
// PublishUnknown (it may yet be accepted: ask again with the same change id).
func (publisher *Publisher) Publish(ctx context.Context, request *operatorv1.PublishRequest) (uint64, error) {
	change, err := newChange(request)
	if err != nil {
		return 0, err
	}
	bounded, cancel := context.WithTimeout(ctx, publisher.timeout)
	defer cancel()
	publication := &publication{Publisher: publisher, change: change, begun: publisher.reader.options.Now()}
	return publication.run(bounded)
}

// newChange checks a request and encodes it as a record.
func newChange(request *operatorv1.PublishRequest) (*configurationv1.Change, error) {
	err := checkName("change_id", request.GetChangeId())
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "change_id: must be 1 to %d bytes without spaces", maxNameLength)
	}
	err = Validate(request.GetConfiguration())
	if err != nil {
		return nil, err
	}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(request.GetConfiguration())
	if err != nil {
		return nil, broken("configuration", "can't be encoded")
	}
	return &configurationv1.Change{
		ChangeId:    request.GetChangeId(),
		BaseVersion: request.GetBaseVersion(),
		Content:     content,
	}, nil
}

// publication is one publish under way.
type publication struct {
	*Publisher
	change *configurationv1.Change
	// begun is when the publish began, on the reader's clock.
	begun time.Time
	// appended is true once the log has confirmed the change.
	appended bool
	// maybeAppended is true once an append may have taken effect.
	maybeAppended bool
	lastAppend    time.Time
}

// run appends and reads back until the change is decided and held, or ctx
// ends. Appending again is safe: the register gives a repeated change its
// first answer.
func (publication *publication) run(ctx context.Context) (uint64, error) {
	for {
		seen := publication.reader.look(publication.change.GetChangeId())
		if seen.decided != nil {
			return publication.settle(ctx, seen)
		}
		if publication.isLost(seen) {
			return 0, conflict(seen.version)
		}
		if publication.mayAppend(seen) {
			err := publication.append(ctx)
			if err != nil {
				return 0, err
			}
		}
		err := publication.awaitProgress(ctx, seen)
		if err != nil {
			return 0, publication.undecided()
		}
	}
}

// isLost tells whether the change, which is not decided up to what the reader
// has read, can't be accepted after it either: the version is past its base
// and only rises, or the base is above the version at the end of the log, and
// then the change is never appended.
func (publication *publication) isLost(seen state) bool {
	base := publication.change.GetBaseVersion()
	readToEnd := !seen.logHeard.Before(publication.begun)
	return seen.version > base || (seen.version < base && readToEnd)
}

// mayAppend tells whether to append now.
//
// Invariant: a change is appended only by a process that has read its base
// version. So its base is never above the version in force where it stands,
// and once refused it stays refused, also after the register forgets it.
func (publication *publication) mayAppend(seen state) bool {
	if publication.appended || seen.version != publication.change.GetBaseVersion() {
		return false
	}
	waited := publication.reader.options.Now().Sub(publication.lastAppend)
	return !publication.maybeAppended || waited >= appendRetry
}

// append tries once to append the change. It fails only if the change can't
// stand in the log.
func (publication *publication) append(ctx context.Context) error {
	record, err := proto.Marshal(publication.change)
	if err != nil {
		return resultcode.New(resultcode.Internal, "change can't be encoded")
	}
	bounded, cancel := context.WithTimeout(ctx, publication.appendTimeout)
	defer cancel()
	_, err = publication.log.Append(bounded, Stream, record)
	publication.lastAppend = publication.reader.options.Now()
	switch {
	case err == nil:
		publication.appended = true
		publication.maybeAppended = true
	case errors.Is(err, outside.ErrOutcomeUnknown), bounded.Err() != nil:
		publication.maybeAppended = true
	case !publication.maybeAppended:
		return resultcode.New(resultcode.LogUnavailable, "the log did not take the change: %v", err).After(unknownRetryAfter)
	}
	return nil
}

// awaitProgress reads the log until the reader has moved on from seen, for at
// most one poll.
func (publication *publication) awaitProgress(ctx context.Context, seen state) error {
	publication.reader.poke()
	timer := time.NewTimer(settlePoll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-seen.progress:
	case <-timer.C:
	}
	return ctx.Err()
}

// settle turns the decision into the answer.
func (publication *publication) settle(ctx context.Context, seen state) (uint64, error) {
	decided := seen.decided
	if !bytes.Equal(decided.GetDigest(), changeDigest(publication.change)) {
		return 0, resultcode.New(resultcode.ChangeIDReused, "change id %s was used with another content", decided.GetChangeId())
	}
	if decided.GetOutcome() != configurationv1.Outcome_OUTCOME_ACCEPTED {
		return 0, conflict(seen.version)
	}
	for !seen.held {
		err := publication.awaitProgress(ctx, seen)
		if err != nil {
			return 0, unknown("version %d stands in the log and is not yet held by a majority of zones", decided.GetVersion())
		}
		seen = publication.reader.look(decided.GetChangeId())
	}
	return decided.GetVersion(), nil
}

// undecided is the answer when time is up before the change was read back.
func (publication *publication) undecided() error {
	if publication.maybeAppended {
		return unknown("the change was sent and has not been read back")
	}
	return resultcode.New(resultcode.LogUnavailable, "the log does not answer").After(unknownRetryAfter)
}

func conflict(version uint64) error {
	return resultcode.New(resultcode.VersionConflict, "version %d is in force", version)
}

func unknown(format string, arguments ...any) error {
	return resultcode.New(resultcode.PublishUnknown, format, arguments...).After(unknownRetryAfter)
}
