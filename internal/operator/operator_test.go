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

const key = "correct key"

// register is a Publisher and a Reader in memory. Before each publish it lets
// other operators win as often as interruptions says.
type register struct {
	version       uint64
	configuration *operatorv1.Configuration
	interruptions int
	changeIDs     []string
}

func (register *register) Current() *configuration.Snapshot {
	if register.version == 0 {
		return nil
	}
	return configuration.NewSnapshot(register.version, register.configuration)
}

func (register *register) Publish(_ context.Context, request *operatorv1.PublishRequest) (uint64, error) {
	register.changeIDs = append(register.changeIDs, request.GetChangeId())
	if register.interruptions > 0 {
		register.interruptions--
		register.version++
	}
	if request.GetBaseVersion() != register.version {
		return 0, resultcode.New(resultcode.VersionConflict, "version %d is in force", register.version)
	}
	register.version++
	register.configuration = request.GetConfiguration()
	return register.version, nil
}

// cluster answers as its failure says.
type cluster struct {
	failure error
	limit   uint32
}

func (cluster *cluster) Nodes(context.Context) ([]*operatorv1.Node, error) {
	return []*operatorv1.Node{{Id: "gateway-1"}}, cluster.failure
}

func (cluster *cluster) Programs(_ context.Context, _ string, limit uint32) ([]*operatorv1.Program, error) {
	cluster.limit = limit
	return nil, cluster.failure
}

func (cluster *cluster) StopProgram(context.Context, string, string) error { return cluster.failure }

func (cluster *cluster) ExplainCall(context.Context, string, string) (*operatorv1.ExplainCallReply, error) {
	return &operatorv1.ExplainCallReply{CallState: "queued"}, cluster.failure
}

func digestOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// connect serves the dependencies and returns a client that presents key.
func connect(dependencies Dependencies, presented string) (operatorv1.Operator, context.Context) {
	server := httptest.NewServer(NewHandler(dependencies))
	DeferCleanup(server.Close)
	header := http.Header{}
	header.Set(authorizationHeader, bearerPrefix+presented)
	ctx, err := twirp.WithHTTPRequestHeaders(context.Background(), header)
	Expect(err).NotTo(HaveOccurred())
	return operatorv1.NewOperatorProtobufClient(server.URL, server.Client()), ctx
}

var _ = Describe("Operator", func() {
	var state *register
	var peers *cluster
	var dependencies Dependencies

	BeforeEach(func() {
		state = &register{configuration: &operatorv1.Configuration{}}
		peers = &cluster{}
		dependencies = Dependencies{Publisher: state, Reader: state, Cluster: peers, KeySHA256: digestOf(key)}
	})

	It("refuses a wrong, empty or unset key, and logs none", func() {
		core, logs := observer.New(zap.DebugLevel)
		dependencies.Logger = zap.New(core)
		for _, presented := range []string{"secret guess", "", key + "x"} {
			client, ctx := connect(dependencies, presented)
			_, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
			Expect(FromTwirp(err).Code).To(Equal(resultcode.BadKey))
		}
		dependencies.KeySHA256 = ""
		client, ctx := connect(dependencies, "")
		_, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.BadKey))
		Expect(logs.Len()).To(Equal(4))
		for _, entry := range logs.All() {
			for _, field := range entry.Context {
				Expect(field.String).NotTo(ContainSubstring("secret"))
			}
		}
	})

	It("publishes, reads and lists", func() {
		client, ctx := connect(dependencies, key)
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
		Expect(peers.limit).To(BeEquivalentTo(defaultProgramLimit))
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

	It("drains over changes that come between, once, each try under its own change id", func() {
		state.interruptions = 2
		client, ctx := connect(dependencies, key)
		request := &operatorv1.DrainBackEndRequest{BackEnd: "engine-1", ChangeId: "d"}
		first, err := client.DrainBackEnd(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.GetVersion()).To(BeEquivalentTo(3))
		Expect(state.changeIDs).To(Equal([]string{"d@0", "d@1", "d@2"}))
		second, err := client.DrainBackEnd(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.GetVersion()).To(BeEquivalentTo(3))
		Expect(state.configuration.GetDrainedBackEnds()).To(Equal([]string{"engine-1"}))
		state.interruptions = 99
		_, err = client.DrainBackEnd(ctx, &operatorv1.DrainBackEndRequest{BackEnd: "engine-2", ChangeId: "e"})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.VersionConflict))
	})

	It("carries every result code with its wait", func() {
		for _, entry := range resultcode.Table[1:] {
			sent := resultcode.New(entry.Code, "why").After(1500 * time.Millisecond)
			peers.failure = sent
			client, ctx := connect(dependencies, key)
			_, err := client.ListNodes(ctx, &operatorv1.ListNodesRequest{})
			Expect(FromTwirp(err)).To(Equal(sent))
		}
	})

	It("withholds the text of an unnumbered error", func() {
		peers.failure = context.Canceled
		client, ctx := connect(dependencies, key)
		_, err := client.ListNodes(ctx, &operatorv1.ListNodesRequest{})
		Expect(FromTwirp(err).Code).To(Equal(resultcode.Internal))
		Expect(err.Error()).NotTo(ContainSubstring("canceled"))
		Expect(FromTwirp(context.Canceled)).To(BeNil())
	})
})
