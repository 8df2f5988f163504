package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const operatorKey = "correct key"

// memoryStore is an in-memory Publisher and Reader. The next concurrentPublishes
// publishes each conflict with another operator's change.
type memoryStore struct {
	version             uint64
	configuration       *operatorv1.Configuration
	concurrentPublishes int
	changeIDs           []string
}

func (store *memoryStore) Current() *configuration.Snapshot {
	if store.version == 0 {
		return nil
	}
	return configuration.NewSnapshot(store.version, store.configuration)
}

func (store *memoryStore) Publish(_ context.Context, request *operatorv1.PublishRequest) (uint64, error) {
	store.changeIDs = append(store.changeIDs, request.GetChangeId())
	if store.concurrentPublishes > 0 {
		store.concurrentPublishes--
		store.version++
	}
	if request.GetBaseVersion() != store.version {
		return 0, resultcode.New(resultcode.VersionConflict, "version %d is in force", store.version)
	}
	store.version++
	store.configuration = request.GetConfiguration()
	return store.version, nil
}

// fakeCluster returns err from every method and records the limit of the last
// Programs request.
type fakeCluster struct {
	err       error
	lastLimit uint32
}

func (cluster *fakeCluster) Nodes(context.Context) ([]*operatorv1.Node, error) {
	return []*operatorv1.Node{{Id: "gateway-1"}}, cluster.err
}

func (cluster *fakeCluster) Programs(_ context.Context, _ string, limit uint32) ([]*operatorv1.Program, error) {
	cluster.lastLimit = limit
	return nil, cluster.err
}

func (cluster *fakeCluster) StopProgram(context.Context, string, string) error { return cluster.err }

func (cluster *fakeCluster) ExplainCall(context.Context, string, string) (*operatorv1.ExplainCallReply, error) {
	return &operatorv1.ExplainCallReply{CallState: "queued"}, cluster.err
}

func digestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// newClient starts a server and returns a client that sends presentedKey.
func newClient(dependencies Dependencies, presentedKey string) (operatorv1.Operator, context.Context) {
	server := httptest.NewServer(NewHandler(dependencies))
	DeferCleanup(server.Close)
	header := http.Header{}
	header.Set(authorizationHeader, bearerPrefix+presentedKey)
	ctx, err := twirp.WithHTTPRequestHeaders(context.Background(), header)
	Expect(err).NotTo(HaveOccurred())
	return operatorv1.NewOperatorProtobufClient(server.URL, server.Client()), ctx
}

var _ = Describe("Operator", func() {
	var store *memoryStore
	var cluster *fakeCluster
	var dependencies Dependencies

	BeforeEach(func() {
		store = &memoryStore{configuration: &operatorv1.Configuration{}}
		cluster = &fakeCluster{}
		dependencies = Dependencies{Publisher: store, Reader: store, Cluster: cluster, KeySHA256: digestOf(operatorKey)}
	})

	It("rejects a wrong, empty or unconfigured key and does not log it", func() {
		core, logs := observer.New(zap.DebugLevel)
		dependencies.Logger = zap.New(core)
		for _, presentedKey := range []string{"secret guess", "", operatorKey + "x"} {
			client, ctx := newClient(dependencies, presentedKey)
			_, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
			Expect(FromTwirp(err).Code).To(Equal(resultcode.BadKey))
		}
		dependencies.KeySHA256 = ""
		client, ctx := newClient(dependencies, "")
		_, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.BadKey))
		Expect(logs.Len()).To(Equal(4))
		for _, entry := range logs.All() {
			for _, field := range entry.Context {
				Expect(field.String).NotTo(ContainSubstring("secret"))
			}
		}
	})

	It("publishes and reads configurations, and validates requests", func() {
		client, ctx := newClient(dependencies, operatorKey)
		read, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(read.GetVersion()).To(BeZero())
		reply, err := client.Publish(ctx, &operatorv1.PublishRequest{ChangeId: "a", Configuration: &operatorv1.Configuration{}})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetVersion()).To(BeEquivalentTo(1))
		_, err = client.Publish(ctx, &operatorv1.PublishRequest{ChangeId: "b", Configuration: &operatorv1.Configuration{}})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.VersionConflict))
		nodes, err := client.ListNodes(ctx, &operatorv1.ListNodesRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(nodes.GetNodes()).To(HaveLen(1))
		_, err = client.ListPrograms(ctx, &operatorv1.ListProgramsRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(cluster.lastLimit).To(BeEquivalentTo(defaultProgramLimit))
		_, err = client.ListPrograms(ctx, &operatorv1.ListProgramsRequest{Limit: 1001})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.BadRequest))
		_, err = client.StopProgram(ctx, &operatorv1.StopProgramRequest{})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.BadRequest))
		_, err = client.StopProgram(ctx, &operatorv1.StopProgramRequest{Program: strings.Repeat("p", 300)})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.BadRequest))
		explained, err := client.ExplainCall(ctx, &operatorv1.ExplainCallRequest{Program: "p", RequestId: "r"})
		Expect(err).NotTo(HaveOccurred())
		Expect(explained.GetCallState()).To(Equal("queued"))
	})

	It("retries a drain on version conflicts with a new change id, and drains once", func() {
		store.concurrentPublishes = 2
		client, ctx := newClient(dependencies, operatorKey)
		request := &operatorv1.DrainBackEndRequest{BackEnd: "engine-1", ChangeId: "d"}
		first, err := client.DrainBackEnd(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.GetVersion()).To(BeEquivalentTo(3))
		Expect(store.changeIDs).To(Equal([]string{"d@0", "d@1", "d@2"}))
		second, err := client.DrainBackEnd(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.GetVersion()).To(BeEquivalentTo(3))
		Expect(store.configuration.GetDrainedBackEnds()).To(Equal([]string{"engine-1"}))
		store.concurrentPublishes = 99
		_, err = client.DrainBackEnd(ctx, &operatorv1.DrainBackEndRequest{BackEnd: "engine-2", ChangeId: "e"})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.VersionConflict))
	})

	It("round-trips every result code with its retry delay", func() {
		for _, entry := range resultcode.Table[1:] {
			sent := resultcode.New(entry.Code, "why").WithRetryAfter(1500 * time.Millisecond)
			cluster.err = sent
			client, ctx := newClient(dependencies, operatorKey)
			_, err := client.ListNodes(ctx, &operatorv1.ListNodesRequest{})
			Expect(FromTwirp(err)).To(Equal(sent))
		}
	})

	It("hides the text of an error without a result code", func() {
		cluster.err = context.Canceled
		client, ctx := newClient(dependencies, operatorKey)
		_, err := client.ListNodes(ctx, &operatorv1.ListNodesRequest{})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.Internal))
		Expect(err.Error()).NotTo(ContainSubstring("canceled"))
		Expect(FromTwirp(context.Canceled)).To(BeNil())
	})
})
