package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/platform/wire"
)

// Values of usual length.
const (
	programID   = "abcdefghijklmnopqrstuvwxyz"
	requestID   = "0f8fad5b-d9cb-469f-a165-70867728950e"
	process     = "scheduler-eu-1a-017"
	incarnation = process + "#9f3c2a7be1d04586"
	engineName  = "engine-eu-1a-0217"
	address     = "10.21.117.203:8000"
	tenantName  = "tenant-217"
	tierName    = "gold"
	modelName   = "agent-large"
	poolName    = "agent-large/eu-1"
	largeTotal  = 123_456_789_012
)

func keeperRequest(request *schedulerv1.KeeperRequest) proto.Message {
	request.Pool, request.Leader, request.Shard = poolName, process, 700
	return request
}

func usualMessages() map[string]proto.Message {
	key := &schedulerv1.CallKey{ProgramId: programID, RequestId: requestID, Attempt: 1}
	intent := &shardv1.CallIntended{ProgramId: programID, RequestId: requestID, Attempt: 1,
		BackEnd: engineName, Address: address, FenceHolder: process, FenceEpoch: largeTotal}
	intentEntry, _ := proto.Marshal(&shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: intent}})
	escrowEntry, _ := proto.Marshal(&shardv1.Entry{Change: &shardv1.Entry_AccountGranted{AccountGranted: &shardv1.AccountGranted{
		Tenant: tenantName, Tier: tierName, Shard: 700, WantedTotalMicros: largeTotal, BudgetMicros: largeTotal}}})
	return map[string]proto.Message{
		"offer": keeperRequest(&schedulerv1.KeeperRequest{Request: &schedulerv1.KeeperRequest_Offer{Offer: &schedulerv1.CallOffer{
			Call: key, Tenant: tenantName, Tier: tierName, Weight: 10, Model: modelName, Zone: "eu-1a", PromptTokens: 85000,
			MaxTokens: 1024, AttainedService: 123456.5, ProgramAgeMs: 600000, WaitBoundMs: 30000, DeadlineMs: 60000}}}),
		"grant": &schedulerv1.KeeperReply{Pool: poolName, Shard: 700, Reply: &schedulerv1.KeeperReply_Grant{Grant: &schedulerv1.CallGrant{
			Call: key, Engine: engineName, Address: address, Priority: 100, FenceHolder: process, FenceEpoch: largeTotal,
			Why: "cached 84000 of 85000 tokens, wait 0.1 s"}}},
		"first_token": keeperRequest(&schedulerv1.KeeperRequest{Request: &schedulerv1.KeeperRequest_FirstToken{FirstToken: key}}),
		"return": keeperRequest(&schedulerv1.KeeperRequest{Request: &schedulerv1.KeeperRequest_Return{Return: &schedulerv1.CallReturn{
			Call: key, PromptTokens: 85000, CachedTokens: 84000, OutputTokens: 412}}}),
		"intent": &replicationv1.Entry{Index: 1_000_000, Epoch: largeTotal, Data: intentEntry},
		"append_and_answer": &replicationv1.Batch{From: incarnation, ToProcess: process, Messages: []*replicationv1.Message{
			{Shard: 700, Epoch: largeTotal, From: incarnation, To: incarnation, Body: &replicationv1.Message_AppendRequest{
				AppendRequest: &replicationv1.AppendRequest{PreviousIndex: 1_000_000, PreviousEpoch: largeTotal, Commit: 1_000_000, Archived: 1_000_000, SentAt: largeTotal}}},
			{Shard: 700, Epoch: largeTotal, From: incarnation, To: incarnation, Body: &replicationv1.Message_AppendResponse{
				AppendResponse: &replicationv1.AppendResponse{Success: true, Index: 1_000_000, SentAt: largeTotal}}}}},
		"heartbeat_and_answer": &replicationv1.Batch{From: incarnation, ToProcess: process,
			Heartbeats:   &replicationv1.HeartbeatBatch{Sequence: 1_000_000, BaseSequence: 1_000_000, SentAt: largeTotal},
			HeartbeatAck: &replicationv1.HeartbeatBatchAck{Sequence: 1_000_000, SentAt: largeTotal, To: incarnation}},
		"shard_heartbeat": &replicationv1.ShardHeartbeat{Shard: 700, Epoch: largeTotal, From: incarnation, To: incarnation, Commit: 1_000_000, Archived: 1_000_000},
		"escrow_request":  &schedulerv1.EscrowRequest{Tenant: tenantName, Tier: tierName, Shard: 700, Leader: process, WantedTotalMicros: largeTotal, ReturnedTotalMicros: largeTotal},
		"escrow_reply":    &schedulerv1.EscrowReply{Tenant: tenantName, Tier: tierName, Shard: 700, GrantedTotalMicros: largeTotal, ReturnedTotalMicros: largeTotal},
		"escrow_entry":    &replicationv1.Entry{Index: 1_000_000, Epoch: largeTotal, Data: escrowEntry},
		"tier": &operatorv1.Tier{Name: tierName, Tenant: tenantName, KeySha256: fmt.Sprintf("%064d", 1), Weight: 10, PromptPriceMicros: 150,
			OutputPriceMicros: 600, BudgetMicros: largeTotal, ProgramCapMicros: largeTotal, QueueWaitBoundMs: 30000},
		"call_record": &shardv1.CallRecord{State: "done", Turn: 120, CostMicros: 12345, Attempt: 1, Intent: intent,
			Accepted: &shardv1.CallAccepted{ProgramId: programID, RequestId: requestID, Digest: make([]byte, 32), Target: modelName, MaxTokens: 1024,
				PromptPriceMicros: 150, OutputPriceMicros: 600, Kind: schedulerv1.CallKind_CALL_KIND_MODEL},
			Finished: &shardv1.CallFinished{ProgramId: programID, RequestId: requestID, Attempt: 1, FinishReason: "stop", PromptTokens: 85000, CachedTokens: 84000, OutputTokens: 412}},
		"chunk": &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Chunk{Chunk: &schedulerv1.Chunk{Sequence: 200, Text: "word", Tokens: 1}}},
	}
}

// BenchmarkMessageSizes prints the encoded bytes of usual messages.
func BenchmarkMessageSizes(b *testing.B) {
	for name, message := range usualMessages() {
		b.Run(name, func(b *testing.B) { b.ReportMetric(float64(proto.Size(message)), "B") })
	}
	documents := map[string]any{
		"machine":                wire.Machine{ID: engineName, Role: "engine", Region: "eu", Zone: "eu-1a", Address: address, State: "live", Service: modelName},
		"load_report":            wire.LoadReport{Engine: engineName, Model: modelName, Version: "2026-11", Adapters: []string{"meter"}, Role: "mixed", RunningLimit: 256, BlocksTotal: 40000, BlocksUsed: 30000},
		"program_in_load_report": map[string]int{programID: 5300},
	}
	for name, document := range documents {
		b.Run(name, func(b *testing.B) {
			content, err := json.Marshal(document)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(content)), "B")
		})
	}
}

// countingConnection counts the bytes that pass in both directions.
type countingConnection struct {
	net.Conn
	count *atomic.Int64
}

func (connection countingConnection) Read(buffer []byte) (int, error) {
	length, err := connection.Conn.Read(buffer)
	connection.count.Add(int64(length))
	return length, err
}

func (connection countingConnection) Write(buffer []byte) (int, error) {
	connection.count.Add(int64(len(buffer)))
	return connection.Conn.Write(buffer)
}

// statusService answers Status alone.
type statusService struct{ schedulerv1.Programs }

func (statusService) Status(context.Context, *schedulerv1.StatusRequest) (*schedulerv1.StatusReply, error) {
	return &schedulerv1.StatusReply{}, nil
}

// BenchmarkTwirpCall reports the bytes on the connection and the processor time
// of both ends together, for one empty call over nbhttp.
func BenchmarkTwirpCall(b *testing.B) {
	handler := schedulerv1.NewProgramsServer(statusService{})
	server, err := httpserver.Start("127.0.0.1:0", handler, httpserver.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Shutdown(context.Background()) }()
	var count atomic.Int64
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, target)
		return countingConnection{connection, &count}, err
	}}
	client := schedulerv1.NewProgramsProtobufClient("http://"+server.Address(), &http.Client{Transport: transport})
	before := processorTime()
	calls := 0
	for b.Loop() {
		if _, err := client.Status(context.Background(), &schedulerv1.StatusRequest{}); err != nil {
			b.Fatal(err)
		}
		calls++
	}
	b.ReportMetric(float64(count.Load())/float64(calls), "wire-B/op")
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(calls), "cpu-µs/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
