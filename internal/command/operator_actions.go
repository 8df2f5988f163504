package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"google.golang.org/protobuf/proto"
)

// changeIDBytes is the length of a generated change ID before hex encoding.
const changeIDBytes = 16

// PublishCommand publishes a configuration file.
type PublishCommand struct {
	File        string  `arg:"positional,required" placeholder:"FILE" help:"configuration in YAML or JSON, in the format of magpielug.operator.v1.Configuration"`
	BaseVersion *uint64 `arg:"--base-version" placeholder:"N" help:"version that the change is based on; default: the version in force"`
	ChangeID    string  `arg:"--change-id" placeholder:"ID" help:"ID of the change; a repeated ID returns the first result; default: random"`
}

func (command *PublishCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	content, err := readConfiguration(command.File)
	if err != nil {
		return nil, err
	}
	if command.ChangeID == "" {
		command.ChangeID = newChangeID()
	}
	if command.BaseVersion == nil {
		current, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		if err != nil {
			return nil, err
		}
		command.BaseVersion = proto.Uint64(current.GetVersion())
	}
	return client.Publish(ctx, &operatorv1.PublishRequest{
		ChangeId:      command.ChangeID,
		BaseVersion:   *command.BaseVersion,
		Configuration: content,
	})
}

func (command *PublishCommand) table(reply proto.Message) table {
	accepted := reply.(*operatorv1.PublishReply)
	return newTable("VERSION", "CHANGE").add(accepted.GetVersion(), command.ChangeID)
}

// GetCommand shows the configuration in force.
type GetCommand struct {
	Content bool `arg:"--content" help:"with --output json, print only the configuration, in the format of publish"`
}

func (command *GetCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	reply, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	if err != nil || !command.Content {
		return reply, err
	}
	return reply.GetConfiguration(), nil
}

func (command *GetCommand) table(reply proto.Message) table {
	configuration, contentOnly := reply.(*operatorv1.Configuration)
	if !contentOnly {
		received := reply.(*operatorv1.GetConfigurationReply)
		return configurationTable(received.GetConfiguration()).add("version", received.GetVersion(), "")
	}
	return configurationTable(configuration)
}

// NodesCommand lists processes.
type NodesCommand struct{}

func (*NodesCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	return client.ListNodes(ctx, &operatorv1.ListNodesRequest{})
}

func (*NodesCommand) table(reply proto.Message) table {
	rows := newTable("ID", "ROLE", "ZONE", "ADDRESS", "VERSION", "STATE", "SHARDS LED")
	for _, node := range reply.(*operatorv1.ListNodesReply).GetNodes() {
		rows = rows.add(node.GetId(), node.GetRole(), node.GetZone(), node.GetAddress(),
			node.GetConfigurationVersion(), node.GetState(), node.GetShardsLed())
	}
	return rows
}

// DrainCommand drains a back end, which then gets no new calls.
type DrainCommand struct {
	BackEnd  string `arg:"positional,required" placeholder:"BACK-END" help:"ID of the engine or tool machine"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"ID of the change; default: random"`
}

func (command *DrainCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	if command.ChangeID == "" {
		command.ChangeID = newChangeID()
	}
	return client.DrainBackEnd(ctx, &operatorv1.DrainBackEndRequest{BackEnd: command.BackEnd, ChangeId: command.ChangeID})
}

func (command *DrainCommand) table(reply proto.Message) table {
	accepted := reply.(*operatorv1.DrainBackEndReply)
	return newTable("VERSION", "DRAINED").add(accepted.GetVersion(), command.BackEnd)
}

// ProgramsCommand lists programs.
type ProgramsCommand struct {
	Tenant string `arg:"--tenant" placeholder:"NAME" help:"show only this tenant's programs"`
	Limit  uint32 `arg:"--limit" default:"100" placeholder:"N" help:"maximum number of programs, up to 1000"`
}

func (command *ProgramsCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	return client.ListPrograms(ctx, &operatorv1.ListProgramsRequest{Tenant: command.Tenant, Limit: command.Limit})
}

func (*ProgramsCommand) table(reply proto.Message) table {
	rows := newTable("ID", "TENANT", "TIER", "KIND", "PARENT", "STATE", "TURNS", "SPENT", "RESERVED")
	for _, program := range reply.(*operatorv1.ListProgramsReply).GetPrograms() {
		rows = rows.add(program.GetId(), program.GetTenant(), program.GetTier(), program.GetKind(), program.GetParent(),
			program.GetState(), program.GetTurns(), program.GetSpentMicros(), program.GetReservedMicros())
	}
	return rows
}

// StopProgramCommand stops a program.
type StopProgramCommand struct {
	Program string `arg:"positional,required" placeholder:"PROGRAM" help:"program ID"`
	Reason  string `arg:"--reason" placeholder:"TEXT" help:"reason, stored with the program"`
}

func (command *StopProgramCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	return client.StopProgram(ctx, &operatorv1.StopProgramRequest{Program: command.Program, Reason: command.Reason})
}

func (command *StopProgramCommand) table(proto.Message) table {
	return newTable("STOPPED").add(command.Program)
}

// ExplainCommand shows the last scheduling decisions for a call.
type ExplainCommand struct {
	Program string `arg:"positional,required" placeholder:"PROGRAM" help:"program ID"`
	Request string `arg:"positional,required" placeholder:"REQUEST" help:"request ID of the call"`
}

func (command *ExplainCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	return client.ExplainCall(ctx, &operatorv1.ExplainCallRequest{Program: command.Program, RequestId: command.Request})
}

func (*ExplainCommand) table(reply proto.Message) table {
	explained := reply.(*operatorv1.ExplainCallReply)
	rows := newTable("AT MS", "NODE", "WHAT", "WHY")
	for _, decision := range explained.GetDecisions() {
		rows = rows.add(decision.GetAtMs(), decision.GetNode(), decision.GetWhat(), decision.GetWhy())
	}
	return rows.add("", "", "state", explained.GetCallState())
}

func newChangeID() string {
	identifier := make([]byte, changeIDBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(identifier)
	return hex.EncodeToString(identifier)
}
