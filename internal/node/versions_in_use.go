package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/streamversion"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"
)

const (
	// useCheckInterval is how often a relay looks for versions and services that are new.
	useCheckInterval = 100 * time.Millisecond
	// maxServingAge is the greatest age of the list of engines from which a node concludes that a version
	// is the only one.
	maxServingAge = 2 * time.Second
	// readReports is the number of reports at the end of the topic that count. With 6 zones they cover a
	// minute and a half.
	readReports = 128
	// useReadInterval is the shortest interval between reads of the topic by one node, and useReadTimeout
	// how long a caller waits for one.
	useReadInterval = 100 * time.Millisecond
	useReadTimeout  = 400 * time.Millisecond
)

// versionsInUse records in the log which versions serve. A stream whose origin is lost with the nodes that
// kept it can then still be resumed, if it can have begun at one version only. The relay of each zone writes
// what it knows; together they know a version before streams begin at it, except for some milliseconds.
type versionsInUse struct {
	node *Node
	// relay returns the relay of this node's zone.
	relay func() string
	// reads deduplicates concurrent reads of the topic.
	reads  singleflight.Group
	window *streamversion.UseWindow

	// mutex guards the position of the next read and when the last complete one began.
	mutex      sync.Mutex
	nextOffset int64
	readAt     time.Time
}

func newVersionsInUse(node *Node, relay func() string) *versionsInUse {
	return &versionsInUse{node: node, relay: relay, window: streamversion.NewUseWindow()}
}

func (versions *versionsInUse) enabled() bool {
	return feature.Enabled(feature.SoleVersion) && versions.node.dependencies.VersionTopic != ""
}

func (versions *versionsInUse) partition() durable.Partition {
	return durable.Partition{Topic: versions.node.dependencies.VersionTopic}
}

// run reports what is in use for as long as this node is its zone's relay, until ctx ends.
func (versions *versionsInUse) run(ctx context.Context) {
	var reporter *streamversion.UseReporter
	for ctx.Err() == nil {
		wait.Sleep(ctx, useCheckInterval)
		if !versions.enabled() || !versions.isRelay() {
			reporter = nil
			continue
		}
		if reporter == nil {
			reporter = versions.newReporter(ctx)
		}
		versions.report(reporter)
	}
}

// isRelay reports whether this node is its zone's relay and has read what it has to report.
func (versions *versionsInUse) isRelay() bool {
	return callViews{versions.node}.Loaded() && versions.relay() == versions.node.settings.Name
}

// newReporter returns a reporter that goes on with what earlier relays have reported.
func (versions *versionsInUse) newReporter(ctx context.Context) *streamversion.UseReporter {
	reporter := streamversion.NewUseReporter()
	reporter.Observe(versions.reported(ctx), time.Now())
	return reporter
}

// report appends what is in use if that is due.
func (versions *versionsInUse) report(reporter *streamversion.UseReporter) {
	now := time.Now()
	reporter.Observe(versions.current(), now)
	inUse, due := reporter.Due(now)
	if !due {
		return
	}
	err := versions.append(inUse)
	if err != nil {
		reporter.Failed()
		versions.node.logger.Info("versions in use not recorded", zap.Int("versions", len(inUse.Versions)), logging.ErrorField(err))
	}
}

func (versions *versionsInUse) append(inUse streamversion.InUse) error {
	content, err := proto.Marshal(inUseToProto(inUse))
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	_, err = versions.node.dependencies.Log.Append(bounded, versions.partition(), [][]byte{content}, durable.Condition{})
	return err
}

// current returns what this node knows to be in use.
func (versions *versionsInUse) current() streamversion.InUse {
	configuration := versions.node.routes.Load()
	if configuration == nil {
		return streamversion.InUse{}
	}
	inUse := streamversion.InUse{Services: configuration.ResumableServices()}
	for _, version := range versions.node.engines.Versions() {
		inUse.Versions = append(inUse.Versions, streamversion.Origin{Service: version.Service, Version: version.Version})
	}
	return inUse
}

// findSole returns the only origin that a stream of a service can have, by what the log says and what this
// node knows. It returns false if there are several, or if either is not known as of now.
func (versions *versionsInUse) findSole(ctx context.Context, service string) (streamversion.Origin, bool) {
	if !versions.enabled() || versions.node.engineView.age() > maxServingAge {
		return streamversion.Origin{}, false
	}
	current := versions.current()
	if !slices.Equal(current.Services, []string{service}) {
		return streamversion.Origin{}, false
	}
	var serving []string
	for _, version := range current.Versions {
		if version.Service == service {
			serving = append(serving, version.Version)
		}
	}
	if len(serving) != 1 {
		return streamversion.Origin{}, false
	}
	return versions.reported(ctx).Sole(service, serving)
}

// reported returns what the reports at the end of the log say, all that were appended before the call. It
// returns nothing if they are not read before ctx ends, or in useReadTimeout; the read goes on then.
func (versions *versionsInUse) reported(ctx context.Context) streamversion.InUse {
	called := time.Now()
	bounded, cancel := context.WithTimeout(ctx, useReadTimeout)
	defer cancel()
	for bounded.Err() == nil {
		versions.mutex.Lock()
		next, readAt := versions.nextOffset, versions.readAt
		versions.mutex.Unlock()
		if !readAt.Before(called) {
			return versions.window.Since(next - readReports)
		}
		read := versions.reads.DoChan("", func() (any, error) {
			time.Sleep(useReadInterval - time.Since(readAt))
			return nil, versions.read(next)
		})
		select {
		case result := <-read:
			if result.Err != nil {
				versions.node.logger.Info("versions in use not read", logging.ErrorField(result.Err))
				return streamversion.InUse{}
			}
		case <-bounded.Done():
		}
	}
	return streamversion.InUse{}
}

// read reads the reports from an offset on, but not more than readReports.
func (versions *versionsInUse) read(from int64) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	log := versions.node.dependencies.Log
	end, err := endOffset(ctx, log, versions.partition())
	if err != nil {
		return err
	}
	progress := durable.ReadProgress{NextOffset: max(from, end-readReports)}
	progress, err = durable.ReadToEnd(ctx, log, versions.partition(), progress, versions.put)
	if err != nil {
		return err
	}
	versions.mutex.Lock()
	defer versions.mutex.Unlock()
	versions.nextOffset = max(versions.nextOffset, progress.NextOffset)
	versions.readAt = began
	return nil
}

func (versions *versionsInUse) put(offset int64, content []byte) {
	var message nodev1.VersionsInUse
	if proto.Unmarshal(content, &message) == nil {
		versions.window.Put(offset, inUseFromProto(&message))
	}
}

// endOffset returns the end offset of a partition.
func endOffset(ctx context.Context, log durable.Log, partition durable.Partition) (int64, error) {
	batch, err := log.Read(ctx, partition, durable.UnknownEnd, 0)
	var trimmed *durable.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.FirstOffset, nil
	}
	return batch.EndOffset, err
}

func inUseToProto(inUse streamversion.InUse) *nodev1.VersionsInUse {
	message := &nodev1.VersionsInUse{Services: inUse.Services}
	for _, version := range inUse.Versions {
		message.Versions = append(message.Versions, &nodev1.ServiceVersion{Service: version.Service, Version: version.Version})
	}
	return message
}

func inUseFromProto(message *nodev1.VersionsInUse) streamversion.InUse {
	inUse := streamversion.InUse{Services: message.Services}
	for _, version := range message.Versions {
		inUse.Versions = append(inUse.Versions, streamversion.Origin{Service: version.Service, Version: version.Version})
	}
	return inUse
}
