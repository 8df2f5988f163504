package node

import (
	"context"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/streamversion"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// useCheckInterval is how often a relay looks for versions and services that are new.
	useCheckInterval = 100 * time.Millisecond
	// maxServingAge is the greatest age of the list of engines from which a node concludes that a version
	// is the only one.
	maxServingAge = 2 * time.Second
)

// versionsInUse records in the log which versions serve. A stream whose origin is lost with the nodes that
// kept it can then still be resumed, if it can have begun at one version only. The relay of each zone writes
// what it knows; together they know each version before streams begin at it, except for some milliseconds.
type versionsInUse struct {
	node    *Node
	records *originRecords
}

func newVersionsInUse(node *Node, records *originRecords) *versionsInUse {
	return &versionsInUse{node: node, records: records}
}

func (versions *versionsInUse) enabled() bool {
	return versions.records.enabled() && feature.Enabled(feature.SoleVersion)
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
	return callViews{versions.node}.Loaded() && versions.records.relay() == versions.node.settings.Name
}

// newReporter returns a reporter that goes on with what earlier relays have reported.
func (versions *versionsInUse) newReporter(ctx context.Context) *streamversion.UseReporter {
	reporter := streamversion.NewUseReporter()
	bounded, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	reporter.Observe(versions.records.recall(bounded), time.Now())
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
	err := versions.records.appendRecord(&nodev1.StreamOriginsRecord{VersionsInUse: inUseToProto(inUse)})
	if err != nil {
		reporter.Failed()
		versions.node.logger.Info("versions in use not recorded", zap.Int("versions", len(inUse.Versions)), logging.ErrorField(err))
	}
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

// sole returns the only origin that a stream of a service can have, by what the log says and what this node
// knows. It returns false if there are several, or this node does not know what serves now.
func (versions *versionsInUse) sole(logged streamversion.InUse, service string) (streamversion.Origin, bool) {
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
	return logged.Sole(service, serving)
}

func inUseToProto(inUse streamversion.InUse) *nodev1.VersionsInUse {
	if len(inUse.Versions) == 0 {
		return nil
	}
	message := &nodev1.VersionsInUse{Services: inUse.Services}
	for _, version := range inUse.Versions {
		message.Versions = append(message.Versions, &nodev1.ServiceVersion{Service: version.Service, Version: version.Version})
	}
	return message
}

func inUseFromProto(message *nodev1.VersionsInUse) streamversion.InUse {
	inUse := streamversion.InUse{Services: message.GetServices()}
	for _, version := range message.GetVersions() {
		inUse.Versions = append(inUse.Versions, streamversion.Origin{Service: version.Service, Version: version.Version})
	}
	return inUse
}
