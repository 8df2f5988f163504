package operator

import (
	"context"
	"fmt"
	"slices"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/resultcode"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// Request limits.
const (
	defaultProgramLimit = 100
	maxProgramLimit     = 1000
	maxIDLength         = 256
	maxReasonLength     = 1024
	// maxDrainAttempts bounds the publishes of one drain when other changes
	// conflict with it.
	maxDrainAttempts = 5
)

// Publisher publishes a configuration and returns its version once accepted.
type Publisher interface {
	Publish(ctx context.Context, request *operatorv1.PublishRequest) (uint64, error)
}

// Reader returns this process's current configuration, or nil before the first
// one is loaded.
type Reader interface {
	Current() *configuration.Snapshot
}

// Cluster queries and controls the other processes. Its errors are
// *resultcode.Error.
type Cluster interface {
	// Nodes returns every known process.
	Nodes(ctx context.Context) ([]*operatorv1.Node, error)
	// Programs returns up to limit programs of tenant, or of all tenants if
	// tenant is empty.
	Programs(ctx context.Context, tenant string, limit uint32) ([]*operatorv1.Program, error)
	// StopProgram stops a program of any tenant.
	StopProgram(ctx context.Context, program, reason string) error
	// ExplainCall returns the latest scheduling decisions for a call.
	ExplainCall(ctx context.Context, program, requestID string) (*operatorv1.ExplainCallReply, error)
}

// service implements operatorv1.Operator.
type service struct {
	Dependencies
}

func newService(dependencies Dependencies) *service {
	return &service{Dependencies: dependencies}
}

// Publish implements operatorv1.Operator.
func (service *service) Publish(ctx context.Context, request *operatorv1.PublishRequest) (*operatorv1.PublishReply, error) {
	version, err := service.Publisher.Publish(ctx, request)
	service.logChange("publish", err, zap.String("change", request.GetChangeId()), zap.Uint64("version", version))
	if err != nil {
		return nil, ToTwirp(err)
	}
	return &operatorv1.PublishReply{Version: version}, nil
}

// GetConfiguration implements operatorv1.Operator. Before the first publish it
// returns version 0 and an empty configuration.
func (service *service) GetConfiguration(context.Context, *operatorv1.GetConfigurationRequest) (*operatorv1.GetConfigurationReply, error) {
	version, current := service.currentConfiguration()
	return &operatorv1.GetConfigurationReply{Version: version, Configuration: current}, nil
}

// ListNodes implements operatorv1.Operator.
func (service *service) ListNodes(ctx context.Context, _ *operatorv1.ListNodesRequest) (*operatorv1.ListNodesReply, error) {
	nodes, err := service.Cluster.Nodes(ctx)
	if err != nil {
		return nil, ToTwirp(err)
	}
	return &operatorv1.ListNodesReply{Nodes: nodes}, nil
}

// DrainBackEnd implements operatorv1.Operator. It publishes the current
// configuration with the back end added to its drained back ends.
func (service *service) DrainBackEnd(ctx context.Context, request *operatorv1.DrainBackEndRequest) (*operatorv1.DrainBackEndReply, error) {
	err := validateID("back_end", request.GetBackEnd())
	if err == nil {
		err = validateID("change_id", request.GetChangeId())
	}
	if err != nil {
		return nil, ToTwirp(err)
	}
	version, err := service.drain(ctx, request)
	service.logChange("drain", err, zap.String("back_end", request.GetBackEnd()), zap.Uint64("version", version))
	if err != nil {
		return nil, ToTwirp(err)
	}
	return &operatorv1.DrainBackEndReply{Version: version}, nil
}

// drain publishes against the current version and retries against the newer one
// on a version conflict. Each attempt has its own change id, as its content
// differs.
func (service *service) drain(ctx context.Context, request *operatorv1.DrainBackEndRequest) (uint64, error) {
	var lastErr error
	for range maxDrainAttempts {
		version, current := service.currentConfiguration()
		if slices.Contains(current.GetDrainedBackEnds(), request.GetBackEnd()) {
			return version, nil
		}
		changed := proto.CloneOf(current)
		changed.DrainedBackEnds = append(changed.DrainedBackEnds, request.GetBackEnd())
		accepted, err := service.Publisher.Publish(ctx, &operatorv1.PublishRequest{
			ChangeId:      fmt.Sprintf("%s@%d", request.GetChangeId(), version),
			BaseVersion:   version,
			Configuration: changed,
		})
		if resultcode.CodeOf(err) != resultcode.VersionConflict {
			return accepted, err
		}
		lastErr = err
	}
	return 0, lastErr
}

// ListPrograms implements operatorv1.Operator.
func (service *service) ListPrograms(ctx context.Context, request *operatorv1.ListProgramsRequest) (*operatorv1.ListProgramsReply, error) {
	limit := request.GetLimit()
	if limit == 0 {
		limit = defaultProgramLimit
	}
	if limit > maxProgramLimit {
		return nil, ToTwirp(resultcode.New(resultcode.BadRequest, "limit: %d is above %d", limit, maxProgramLimit))
	}
	programs, err := service.Cluster.Programs(ctx, request.GetTenant(), limit)
	if err != nil {
		return nil, ToTwirp(err)
	}
	return &operatorv1.ListProgramsReply{Programs: programs}, nil
}

// StopProgram implements operatorv1.Operator.
func (service *service) StopProgram(ctx context.Context, request *operatorv1.StopProgramRequest) (*operatorv1.StopProgramReply, error) {
	err := validateID("program", request.GetProgram())
	if err == nil && len(request.GetReason()) > maxReasonLength {
		err = resultcode.New(resultcode.BadRequest, "reason: longer than %d bytes", maxReasonLength)
	}
	if err != nil {
		return nil, ToTwirp(err)
	}
	err = service.Cluster.StopProgram(ctx, request.GetProgram(), request.GetReason())
	service.logChange("stop program", err, zap.String("program", request.GetProgram()))
	if err != nil {
		return nil, ToTwirp(err)
	}
	return &operatorv1.StopProgramReply{}, nil
}

// ExplainCall implements operatorv1.Operator.
func (service *service) ExplainCall(ctx context.Context, request *operatorv1.ExplainCallRequest) (*operatorv1.ExplainCallReply, error) {
	err := validateID("program", request.GetProgram())
	if err == nil {
		err = validateID("request_id", request.GetRequestId())
	}
	if err != nil {
		return nil, ToTwirp(err)
	}
	reply, err := service.Cluster.ExplainCall(ctx, request.GetProgram(), request.GetRequestId())
	if err != nil {
		return nil, ToTwirp(err)
	}
	return reply, nil
}

func (service *service) currentConfiguration() (uint64, *operatorv1.Configuration) {
	snapshot := service.Reader.Current()
	if snapshot == nil {
		return 0, &operatorv1.Configuration{}
	}
	return snapshot.Version(), snapshot.Configuration()
}

// logChange logs a change made by an operator and its result.
func (service *service) logChange(operation string, err error, fields ...zap.Field) {
	fields = append(fields, zap.String("what", operation), zap.Stringer("result", resultcode.CodeOf(err)))
	if err != nil {
		fields = append(fields, zap.String("error", err.Error()))
	}
	service.Logger.Info("operator change", fields...)
}

func validateID(field, value string) error {
	switch {
	case value == "":
		return resultcode.New(resultcode.BadRequest, "%s: missing", field)
	case len(value) > maxIDLength:
		return resultcode.New(resultcode.BadRequest, "%s: longer than %d bytes", field, maxIDLength)
	}
	return nil
}
