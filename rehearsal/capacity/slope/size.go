package slope

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// Values of usual length and size.
const (
	programID    = "abcdefghijklmnopqrstuvwxyz"
	requestID    = "0f8fad5b-d9cb-469f-a165-70867728950e"
	process      = "scheduler-eu-1a-017"
	incarnation  = process + "#9f3c2a7be1d04586"
	engineName   = "engine-eu-1a-0217"
	address      = "10.21.117.203:8000"
	tenant       = "tenant-217"
	tier         = "gold"
	model        = "agent-large"
	pool         = "agent-large@eu"
	zone         = "eu-1a"
	shardNumber  = 700
	logIndex     = 1_000_000
	epoch        = 123_456_789_012
	total        = 123_456_789_012
	promptTokens = 85_000
	outputTokens = 412
	maxTokens    = 1024
	digestBytes  = 32
)

// Sizes returns the encoded bytes of usual messages.
func Sizes() ([]Measurement, error) {
	var measurements []Measurement
	for _, sized := range messages() {
		measurements = append(measurements, Measurement{
			Name: sized.name, Values: []float64{float64(proto.Size(sized.message))}, Unit: "B"})
	}
	for _, sized := range documents() {
		content, err := json.Marshal(sized.document)
		if err != nil {
			return nil, eris.Wrap(err, sized.name)
		}
		measurements = append(measurements, Measurement{
			Name: sized.name, Values: []float64{float64(len(content))}, Unit: "B"})
	}
	return measurements, nil
}

// sizedMessage is a usual message, named as its slope.
type sizedMessage struct {
	name    string
	message proto.Message
}

func messages() []sizedMessage {
	return append(append(keeperMessages(), replicationMessages()...), otherMessages()...)
}

func callKey() *schedulerv1.CallKey {
	return &schedulerv1.CallKey{ProgramId: programID, RequestId: requestID, Attempt: 1}
}

func keeperRequest(request *schedulerv1.KeeperRequest) *schedulerv1.KeeperRequest {
	request.Pool = pool
	request.Leader = process
	request.Shard = shardNumber
	return request
}

func callOffer() *schedulerv1.CallOffer {
	return &schedulerv1.CallOffer{
		Call: callKey(), Tenant: tenant, Tier: tier, Kind: "minutes", Weight: 10, Model: model, Zone: zone,
		PromptTokens: promptTokens, MaxTokens: maxTokens, AttainedService: total, ProgramAgeMs: logIndex,
		WaitBoundMs: 30_000, DeadlineMs: 60_000, Repeatable: true,
	}
}

func keeperMessages() []sizedMessage {
	return []sizedMessage{
		{"offer_bytes", keeperRequest(&schedulerv1.KeeperRequest{
			Request: &schedulerv1.KeeperRequest_Offer{Offer: callOffer()}})},
		{"grant_bytes", &schedulerv1.KeeperReply{Pool: pool, Shard: shardNumber,
			Reply: &schedulerv1.KeeperReply_Grant{Grant: &schedulerv1.CallGrant{
				Call: callKey(), Engine: engineName, Address: address, Priority: 100, FenceHolder: process,
				FenceEpoch: epoch, Why: "cached 84000 of 85000 tokens, wait 0.1 s"}}}},
		{"first_token_bytes", keeperRequest(&schedulerv1.KeeperRequest{
			Request: &schedulerv1.KeeperRequest_FirstToken{FirstToken: callKey()}})},
		{"return_bytes", keeperRequest(&schedulerv1.KeeperRequest{
			Request: &schedulerv1.KeeperRequest_Return{Return: &schedulerv1.CallReturn{
				Call: callKey(), PromptTokens: promptTokens, CachedTokens: promptTokens, OutputTokens: outputTokens}}})},
		{"held_bytes", &schedulerv1.HeldGrant{Offer: callOffer(), Engine: engineName, Shard: shardNumber}},
		{"live_bytes", &schedulerv1.ProgramsLive{Programs: []string{programID}}},
	}
}

func callIntended() *shardv1.CallIntended {
	return &shardv1.CallIntended{
		ProgramId: programID, RequestId: requestID, Attempt: 1, BackEnd: engineName, Address: address,
		FenceHolder: process, FenceEpoch: epoch,
	}
}

// logEntry wraps a shard's entry as it is replicated.
func logEntry(entry *shardv1.Entry) *replicationv1.Entry {
	// Marshal fails only on invalid UTF-8, which the constants here are not.
	content, _ := proto.Marshal(entry)
	return &replicationv1.Entry{Index: logIndex, Epoch: epoch, Data: content}
}

func replicationMessages() []sizedMessage {
	appended := &replicationv1.AppendRequest{
		PreviousIndex: logIndex, PreviousEpoch: epoch, Commit: logIndex, Archived: logIndex, SentAt: total}
	response := &replicationv1.AppendResponse{Success: true, Index: logIndex, SentAt: total}
	return []sizedMessage{
		{"intent_bytes", logEntry(&shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: callIntended()}})},
		{"escrow_entry_bytes", logEntry(&shardv1.Entry{Change: &shardv1.Entry_AccountGranted{
			AccountGranted: &shardv1.AccountGranted{
				Tenant: tenant, Tier: tier, Shard: shardNumber, WantedTotalMicros: total, BudgetMicros: total}}})},
		{"append_bytes", &replicationv1.Batch{From: incarnation, ToProcess: process, Messages: []*replicationv1.Message{
			{Shard: shardNumber, Epoch: epoch, From: incarnation, To: incarnation,
				Body: &replicationv1.Message_AppendRequest{AppendRequest: appended}},
			{Shard: shardNumber, Epoch: epoch, From: incarnation, To: incarnation,
				Body: &replicationv1.Message_AppendResponse{AppendResponse: response}}}}},
		{"heartbeat_bytes", &replicationv1.Batch{From: incarnation, ToProcess: process,
			Heartbeats:   &replicationv1.HeartbeatBatch{Sequence: logIndex, BaseSequence: logIndex, SentAt: total},
			HeartbeatAck: &replicationv1.HeartbeatBatchAck{Sequence: logIndex, SentAt: total, To: incarnation}}},
		{"shard_heartbeat_bytes", &replicationv1.ShardHeartbeat{
			Shard: shardNumber, Epoch: epoch, From: incarnation, To: incarnation, Commit: logIndex, Archived: logIndex}},
	}
}

func usualTier() *operatorv1.Tier {
	return &operatorv1.Tier{
		Name: tier, Tenant: tenant, KeySha256: fmt.Sprintf("%064d", 1), Weight: 10, PromptPriceMicros: 150,
		OutputPriceMicros: 600, BudgetMicros: total, ProgramCapMicros: total, QueueWaitBoundMs: 30_000,
	}
}

func otherMessages() []sizedMessage {
	return []sizedMessage{
		{"escrow_request_bytes", &schedulerv1.EscrowRequest{Tenant: tenant, Tier: tier, Shard: shardNumber,
			Leader: process, WantedTotalMicros: total, ReturnedTotalMicros: total}},
		{"escrow_reply_bytes", &schedulerv1.EscrowReply{Tenant: tenant, Tier: tier, Shard: shardNumber,
			GrantedTotalMicros: total, WantedTotalMicros: total}},
		{"tier_bytes", usualTier()},
		{"chunk_bytes", &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Chunk{
			Chunk: &schedulerv1.Chunk{Sequence: outputTokens, Text: "word", Tokens: 1}}}},
	}
}

// sizedDocument is a usual JSON document of the platform's wire shapes.
type sizedDocument struct {
	name     string
	document any
}

func documents() []sizedDocument {
	return []sizedDocument{
		{"machine_bytes", usualMachine(engineName)},
		{"report_bytes", wire.LoadReport{
			Engine: engineName, Model: model, Version: "2026-11", Adapters: []string{"meter"}, Role: "mixed",
			RunningLimit: 256, BlocksTotal: 40_000, BlocksUsed: 30_000}},
		{"report_program_bytes", map[string]int{programID: 5_300}},
	}
}

func usualMachine(id string) wire.Machine {
	return wire.Machine{ID: id, Role: "engine", Region: "eu", Zone: zone, Address: address, State: "live", Service: model}
}
