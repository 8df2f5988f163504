package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// adapterSeparator stands between a model and an adapter in a model's name.
const adapterSeparator = ":"

// resolveModel finds the service and adapter that a model's name means: a
// model service's name, or that name, a colon and one of its adapters.
func resolveModel(configuration Configuration, name string) (target, adapter string, err error) {
	if service, known := configuration.ServiceByName(name); known && service.Kind == ServiceModel {
		return name, "", nil
	}
	if split := strings.LastIndex(name, adapterSeparator); split >= 0 {
		target, adapter = name[:split], name[split+len(adapterSeparator):]
		service, known := configuration.ServiceByName(target)
		if known && service.Kind == ServiceModel && slices.Contains(service.Adapters, adapter) {
			return target, adapter, nil
		}
	}
	return "", "", resultcode.New(resultcode.UnknownTarget, "no such model")
}

// resolveTool checks that name is a tool service.
func resolveTool(configuration Configuration, name string) error {
	if service, known := configuration.ServiceByName(name); known && service.Kind == ServiceTool {
		return nil
	}
	return resultcode.New(resultcode.UnknownTarget, "no such tool service")
}

// outputTokens chooses a call's bound on generated tokens; nil asks for the
// default.
func (config Config) outputTokens(asked *int64) (uint32, error) {
	if asked == nil {
		return config.DefaultOutputTokens, nil
	}
	if *asked < 1 || *asked > int64(config.MaxOutputTokens) {
		return 0, resultcode.New(resultcode.BadRequest, "max_tokens must be 1 to %d", config.MaxOutputTokens)
	}
	return uint32(*asked), nil
}

// repeatableOf reads whether the call may run again after a lost outcome.
// Model calls may unless the caller says no; tool calls may not unless it says
// yes.
func repeatableOf(header http.Header, inBody *bool, byDefault bool) (bool, error) {
	value := header.Get(headerRepeatable)
	if value == "" {
		if inBody != nil {
			return *inBody, nil
		}
		return byDefault, nil
	}
	if value != "true" && value != "false" {
		return false, resultcode.New(resultcode.BadRequest, "%s must be true or false", headerRepeatable)
	}
	repeatable := value == "true"
	if inBody != nil && *inBody != repeatable {
		return false, resultcode.New(resultcode.BadRequest, "%s and repeatable differ", headerRepeatable)
	}
	return repeatable, nil
}

// deadlineOf reads how long the caller wants to wait, in milliseconds; 0 takes
// the service's deadline.
func (config Config) deadlineOf(header http.Header) (uint32, error) {
	value := header.Get(headerDeadline)
	if value == "" {
		return 0, nil
	}
	deadline, err := strconv.ParseUint(value, 10, 32)
	if err != nil || deadline == 0 || time.Duration(deadline)*time.Millisecond > config.MaxWait {
		return 0, resultcode.New(resultcode.BadRequest, "%s must be 1 to %d", headerDeadline, config.MaxWait.Milliseconds())
	}
	return uint32(deadline), nil
}

// newCallRequest fills what a call takes from the caller's headers.
func (exchange *exchange) newCallRequest(kind schedulerv1.CallKind, repeatableInBody *bool) (*schedulerv1.CallRequest, error) {
	header := exchange.request.Header
	config := exchange.gateway.config
	repeatable, err := repeatableOf(header, repeatableInBody, kind == schedulerv1.CallKind_CALL_KIND_MODEL)
	if err != nil {
		return nil, err
	}
	deadline, err := config.deadlineOf(header)
	if err != nil {
		return nil, err
	}
	return &schedulerv1.CallRequest{
		Caller:     exchange.caller,
		Kind:       kind,
		Repeatable: repeatable,
		DeadlineMs: deadline,
	}, nil
}
