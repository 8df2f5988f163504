package forward_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

// engineRecorder responds to each attempt and records its engine.
type engineRecorder struct{ engines []string }

func (sender *engineRecorder) Send(_ context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	sender.engines = append(sender.engines, attempt.Engine.ID)
	return respondWith(http.StatusOK, strings.NewReader("ok"))()
}

// A call may only run in regions that both its route and its tenant allow.
func TestCallsStayInRegionsAllowedByRouteAndTenant(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	directory.Upsert(backend.Instance{ID: "north", Service: "s", Address: "n", Zone: "a", Slots: 4}, time.Time{})
	directory.Upsert(backend.Instance{ID: "south", Service: "s", Address: "s", Zone: "b", Slots: 4}, time.Time{})
	share := []routing.Share{{Service: "s", Weight: 1}}
	configuration := routing.New(1, []*routing.Route{
		{Name: "bound", Host: "h", Prefix: "/bound/", Shares: share, Regions: []string{"north"}},
		{Name: "free", Host: "h", Prefix: "/free/", Shares: share},
	}, []routing.Service{{Name: "s"}}, routing.Limits{})
	configuration.Tenants = tenant.NewDirectory([]tenant.TenantKeys{
		{Tenant: tenant.Tenant{Name: "bound", Regions: []string{"south"}}, Keys: []string{"k-bound"}},
		{Tenant: tenant.Tenant{Name: "free"}, Keys: []string{"k-free"}},
	})
	routes := &routing.ActiveConfiguration{}
	routes.Apply(configuration)
	sender := &engineRecorder{}
	waitQueue := backend.NewWaitQueue()
	waitQueue.SetCapacitySource(directory)
	service := &forward.Service{Routes: routes, Engines: directory, WaitQueue: waitQueue, Metrics: &fakeMetrics{}, Logger: zap.NewNop(),
		Programs: &fakePrograms{}, Sender: sender, Zone: "b", Regions: region.Map{"a": "north", "b": "south"},
		Nodes: func() int { return 1 }, ViewAge: func() time.Duration { return 0 }}
	serve := func(path, key string) *fakeResponseWriter {
		response := &fakeResponseWriter{}
		service.Serve(context.Background(), &forward.Call{ID: "r", Method: "POST", Host: "h", Target: path, Path: path, Header: http.Header{},
			Key: key, Received: time.Now(), Deadline: time.Now().Add(2 * time.Second)}, response)
		return response
	}
	for range 4 {
		serve("/bound/x", "k-free")
	}
	expect.Expect(sender.engines).To(HaveEach("north"))
	sender.engines = nil
	for range 4 {
		serve("/free/x", "k-bound")
	}
	expect.Expect(sender.engines).To(HaveEach("south"))

	sender.engines = nil
	response := serve("/bound/x", "k-bound")
	var failure *resultcode.Error
	expect.Expect(errors.As(response.failure, &failure)).To(BeTrue())
	expect.Expect(failure.Code).To(Equal(resultcode.NoBackEnd))
	expect.Expect(failure.RetryAfter).To(BeNumerically(">", 0))
	expect.Expect(sender.engines).To(BeEmpty(), "no region is allowed by both the route and the tenant")
}
