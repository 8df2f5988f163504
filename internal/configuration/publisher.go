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

// decisionPollInterval is the interval between log reads while a change is undecided.
const decisionPollInterval = 50 * time.Millisecond

// appendRetryDelay is the delay before an append of unknown outcome is repeated.
const appendRetryDelay = 250 * time.Millisecond

// unknownRetryAfter is the retry delay returned with retryable errors.
const unknownRetryAfter = time.Second

// Publisher appends changes to the stream and returns their results.
type Publisher struct {
	log    outside.Log
	reader *Reader
	// timeout bounds one publish, appendTimeout one append.
	timeout       time.Duration
	appendTimeout time.Duration
}

// NewPublisher returns a publisher that learns the results of its changes from reader,
// whose Run must be running. timeout bounds one publish, appendTimeout one append.
func NewPublisher(log outside.Log, reader *Reader, timeout, appendTimeout time.Duration) *Publisher {
	return &Publisher{log: log, reader: reader, timeout: timeout, appendTimeout: appendTimeout}
}

// Publish appends a configuration to the log and returns its version when the change is
// accepted and a majority of zones holds it. It is idempotent: a repeated request
// returns the same result from any process.
//
// Errors are *resultcode.Error. BadRequest, InvalidConfiguration, VersionConflict,
// ChangeIDReused, LogUnavailable and Internal mean that nothing changed. PublishUnknown
// means that the change may still be accepted: retry with the same change id.
func (publisher *Publisher) Publish(ctx context.Context, request *operatorv1.PublishRequest) (uint64, error) {
	change, err := newChange(request)
	if err != nil {
		return 0, err
	}
	bounded, cancel := context.WithTimeout(ctx, publisher.timeout)
	defer cancel()
	publication := &publication{Publisher: publisher, change: change, startedAt: publisher.reader.options.Now()}
	return publication.run(bounded)
}

// newChange validates a request and converts it to a change.
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
		return nil, fieldError("configuration", "cannot be encoded")
	}
	return &configurationv1.Change{
		ChangeId:    request.GetChangeId(),
		BaseVersion: request.GetBaseVersion(),
		Content:     content,
	}, nil
}

// publication is one publish in progress.
type publication struct {
	*Publisher
	change *configurationv1.Change
	// startedAt is the start of the publish on the reader's clock.
	startedAt time.Time
	// appended is true when the log has confirmed an append of the change.
	appended bool
	// maybeAppended is true when an append may have taken effect.
	maybeAppended bool
	lastAppend    time.Time
}

// run appends the change and waits until it is decided and a majority of zones holds it,
// or ctx ends. Repeated appends are safe: the register ignores a change that it has
// already decided.
func (publication *publication) run(ctx context.Context) (uint64, error) {
	for {
		status := publication.reader.changeStatus(publication.change.GetChangeId())
		if status.decided != nil {
			return publication.awaitMajority(ctx, status)
		}
		if publication.cannotBeAccepted(status) {
			return 0, versionConflict(status.version)
		}
		if publication.shouldAppend(status) {
			err := publication.append(ctx)
			if err != nil {
				return 0, err
			}
		}
		err := publication.awaitProgress(ctx, status)
		if err != nil {
			return 0, publication.timeoutError()
		}
	}
}

// cannotBeAccepted reports whether an undecided change can no longer be accepted. Either
// the version, which never decreases, is above the change's base, or the base is above
// the version at the end of the log, in which case the change is never appended.
func (publication *publication) cannotBeAccepted(status changeStatus) bool {
	base := publication.change.GetBaseVersion()
	readToEnd := !status.lastLogRead.Before(publication.startedAt)
	return status.version > base || (status.version < base && readToEnd)
}

// shouldAppend reports whether to append the change now.
//
// Invariant: a change is appended only by a process that has read its base version. Its
// base is therefore never above the version in force at its position in the log, and a
// rejected change stays rejected after the register has discarded the decision.
func (publication *publication) shouldAppend(status changeStatus) bool {
	if publication.appended || status.version != publication.change.GetBaseVersion() {
		return false
	}
	waited := publication.reader.options.Now().Sub(publication.lastAppend)
	return !publication.maybeAppended || waited >= appendRetryDelay
}

// append appends the change once. It returns an error only if the change is certainly
// not in the log.
func (publication *publication) append(ctx context.Context) error {
	record, err := proto.Marshal(publication.change)
	if err != nil {
		return resultcode.New(resultcode.Internal, "configuration change cannot be encoded")
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
		return resultcode.New(resultcode.LogUnavailable, "append to the configuration log failed: %v", err).WithRetryAfter(unknownRetryAfter)
	}
	return nil
}

// awaitProgress requests a log read and waits until the reader's state changes after
// status was taken, for at most decisionPollInterval. It returns the error of ctx.
func (publication *publication) awaitProgress(ctx context.Context, status changeStatus) error {
	publication.reader.requestRead()
	timer := time.NewTimer(decisionPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-status.progress:
	case <-timer.C:
	}
	return ctx.Err()
}

// awaitMajority returns the result of a decided change. For an accepted change it waits
// until a majority of zones holds the version.
func (publication *publication) awaitMajority(ctx context.Context, status changeStatus) (uint64, error) {
	decided := status.decided
	if !bytes.Equal(decided.GetDigest(), changeDigest(publication.change)) {
		return 0, resultcode.New(resultcode.ChangeIDReused, "change id %s was used with other content", decided.GetChangeId())
	}
	if decided.GetOutcome() != configurationv1.Outcome_OUTCOME_ACCEPTED {
		return 0, versionConflict(status.version)
	}
	for !status.held {
		err := publication.awaitProgress(ctx, status)
		if err != nil {
			return 0, outcomeUnknown("version %d is in the log but not yet held by a majority of zones", decided.GetVersion())
		}
		status = publication.reader.changeStatus(decided.GetChangeId())
	}
	return decided.GetVersion(), nil
}

// timeoutError returns the error of a publish that timed out before the change was
// decided.
func (publication *publication) timeoutError() error {
	if publication.maybeAppended {
		return outcomeUnknown("the change may have been appended but was not read back in time")
	}
	return resultcode.New(resultcode.LogUnavailable, "the log does not answer").WithRetryAfter(unknownRetryAfter)
}

func versionConflict(version uint64) error {
	return resultcode.New(resultcode.VersionConflict, "version %d is in force", version)
}

func outcomeUnknown(format string, arguments ...any) error {
	return resultcode.New(resultcode.PublishUnknown, format, arguments...).WithRetryAfter(unknownRetryAfter)
}
