package node

import (
	"context"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/streamversion"
	. "github.com/onsi/gomega"
)

// serve makes all nodes know engines of the versions, and routes with resumable streams to the services.
func (fleet *durableFleet) serve(versions []string, services ...string) {
	var routes []*routing.Route
	for _, service := range services {
		routes = append(routes, &routing.Route{Host: "h", Prefix: "/" + service + "/", Kind: routing.Streaming, Resumable: true, Shares: []routing.Share{{Service: service, Weight: 1}}})
	}
	for _, node := range fleet.nodes {
		node.routes = &routing.ActiveConfiguration{}
		node.routes.Apply(routing.New(1, routes, nil, routing.Limits{}))
		for _, version := range versions {
			node.engines.Upsert(backend.Instance{ID: "engine-" + version, Service: firstVersion.Service, Version: version}, time.Now())
		}
		node.configurationView.merge(durable.Update{Full: true, EndOffset: 1}, time.Now())
		node.engineView.merge(durable.Update{Full: true, EndOffset: 1}, time.Now())
	}
}

// report makes the nodes report what is in use until ctx ends.
func (fleet *durableFleet) report(ctx context.Context) {
	for _, node := range fleet.nodes {
		go node.origins.inUse.run(ctx)
	}
}

// soleFixture lets nodes serve and report for a while, loses them all, and returns what a new node finds of a
// stream that none of them has recorded. The nodes that were lost served the versions before, and those that
// follow them serve the versions now.
func soleFixture(t *testing.T, before, now []string, services ...string) (streamversion.Origin, bool) {
	fleet := newDurableFleet(t)
	fleet.serve(before, services...)
	ctx, stop := context.WithCancel(context.Background())
	fleet.report(ctx)
	time.Sleep(time.Second)
	stop()
	fleet.restart(t)
	fleet.serve(now, services...)
	return fleet.nodes[3].origins.Find(context.Background(), streamKey(1), firstVersion.Service)
}

// Guards against refusing streams after the loss of all nodes where no version has to be guessed, and against
// guessing one.
func TestUnknownStreamsGoOnAtTheOnlyVersion(t *testing.T) {
	first, service := firstVersion.Version, firstVersion.Service
	cases := []struct {
		name        string
		before, now []string
		services    []string
		known       bool
	}{
		{"one version", []string{first}, []string{first}, []string{service}, true},
		{"two versions served before", []string{first, "v9"}, []string{first}, []string{service}, false},
		{"two versions serve now", []string{first}, []string{first, "v9"}, []string{service}, false},
		{"the version has been replaced", []string{first}, []string{"v9"}, []string{service}, false},
		{"routes lead to two services", []string{first}, []string{first}, []string{service, "drafts"}, false},
		{"no engines are known", []string{first}, nil, []string{service}, false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				origin, known := soleFixture(t, each.before, each.now, each.services...)
				NewWithT(t).Expect(known).To(Equal(each.known))
				if known {
					NewWithT(t).Expect(origin).To(Equal(firstVersion))
				}
			})
		})
	}
}

// Guards against a conclusion from what the node has not read: the list of engines, or the end of the log.
func TestUnknownStreamsAreRefusedWithoutFreshKnowledge(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		expect := NewWithT(t)
		fleet := newDurableFleet(t)
		fleet.serve([]string{firstVersion.Version}, firstVersion.Service)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		fleet.report(ctx)
		time.Sleep(time.Second)
		expect.Expect(finds(fleet.nodes[3], 1)).To(BeTrue())
		time.Sleep(maxServingAge + time.Second)
		expect.Expect(finds(fleet.nodes[3], 1)).To(BeFalse(), "the list of engines is old")
		fleet.serve([]string{firstVersion.Version}, firstVersion.Service)
		expect.Expect(finds(fleet.nodes[3], 1)).To(BeTrue())
		fleet.away.Store(true)
		expect.Expect(finds(fleet.nodes[3], 1)).To(BeFalse(), "the log is away")
	})
}

// Guards against a version that is forgotten as soon as its last engine has left.
func TestVersionsInUseAreReportedBeyondTheirEnd(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		fleet.serve([]string{firstVersion.Version, "v9"}, firstVersion.Service)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		fleet.report(ctx)
		time.Sleep(time.Second)
		for _, node := range fleet.nodes {
			node.engines.Remove("engine-v9")
		}
		time.Sleep(10 * time.Second)
		fleet.serve([]string{firstVersion.Version}, firstVersion.Service)
		NewWithT(t).Expect(finds(fleet.nodes[3], 1)).To(BeFalse())
	})
}
