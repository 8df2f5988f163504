package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"google.golang.org/protobuf/proto"
)

// changeIDBytes is the length of a generated change id.
const changeIDBytes = 16

// PublishCommand publishes a configuration file.
type PublishCommand struct {
	File        string  `arg:"positional,required" placeholder:"FILE" help:"configuration in YAML or JSON, in the shape of magpielug.operator.v1.Configuration"`
	BaseVersion *uint64 `arg:"--base-version" placeholder:"N" help:"version that the change was made on; without it the version in force"`
	ChangeID    string  `arg:"--change-id" placeholder:"ID" help:"name of the change; the same id again gets the same answer. Without it a random one"`
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

// GetCommand shows the configuration.
type GetCommand struct {
	Content bool `arg:"--content" help:"with --output json, print the configuration alone, as publish takes it"`
}

func (command *GetCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	reply, err := client.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	if err != nil || !command.Content {
		return reply, err
	}
	return reply.GetConfiguration(), nil
}

func (command *GetCommand) table(reply proto.Message) table {
	configuration, whole := reply.(*operatorv1.Configuration)
	if !whole {
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

// DrainCommand takes a back end out of work.
type DrainCommand struct {
	BackEnd  string `arg:"positional,required" placeholder:"BACK-END" help:"id of the engine or tool machine"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"name of the change; without it a random one"`
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
	Tenant string `arg:"--tenant" placeholder:"NAME" help:"only this tenant's"`
	Limit  uint32 `arg:"--limit" default:"100" placeholder:"N" help:"most programs shown, up to 1000"`
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
	Program string `arg:"positional,required" placeholder:"PROGRAM" help:"id of the program"`
	Reason  string `arg:"--reason" placeholder:"TEXT" help:"kept with the program"`
}

func (command *StopProgramCommand) call(ctx context.Context, client operatorv1.Operator) (proto.Message, error) {
	return client.StopProgram(ctx, &operatorv1.StopProgramRequest{Program: command.Program, Reason: command.Reason})
}

func (command *StopProgramCommand) table(proto.Message) table {
	return newTable("STOPPED").add(command.Program)
}

// ExplainCommand shows decisions.
type ExplainCommand struct {
	Program string `arg:"positional,required" placeholder:"PROGRAM" help:"id of the program"`
	Request string `arg:"positional,required" placeholder:"REQUEST" help:"id of the call's request"`
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

// newChangeID returns a random change id.
func newChangeID() string {
	identifier := make([]byte, changeIDBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(identifier)
	return hex.EncodeToString(identifier)
}
