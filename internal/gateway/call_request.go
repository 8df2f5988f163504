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

// adapterSeparator separates the model from the adapter in a model name.
const adapterSeparator = ":"

// resolveModel returns the service and adapter of a model name: either a model
// service's name, or that name and one of its adapters joined by a colon.
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

// resolveTool returns an error unless name is a tool service.
func resolveTool(configuration Configuration, name string) error {
	if service, known := configuration.ServiceByName(name); known && service.Kind == ServiceTool {
		return nil
	}
	return resultcode.New(resultcode.UnknownTarget, "no such tool service")
}

// resolveMaxTokens returns a call's limit on generated tokens; nil selects the
// default.
func (config Config) resolveMaxTokens(requested *int64) (uint32, error) {
	if requested == nil {
		return config.DefaultOutputTokens, nil
	}
	if *requested < 1 || *requested > int64(config.MaxOutputTokens) {
		return 0, resultcode.New(resultcode.BadRequest, "max_tokens must be 1 to %d", config.MaxOutputTokens)
	}
	return uint32(*requested), nil
}

// parseRepeatable returns whether the call may run again if its outcome is
// lost. By default model calls may and tool calls may not.
func parseRepeatable(header http.Header, bodyValue *bool, defaultValue bool) (bool, error) {
	value := header.Get(headerRepeatable)
	if value == "" {
		if bodyValue != nil {
			return *bodyValue, nil
		}
		return defaultValue, nil
	}
	if value != "true" && value != "false" {
		return false, resultcode.New(resultcode.BadRequest, "%s must be true or false", headerRepeatable)
	}
	repeatable := value == "true"
	if bodyValue != nil && *bodyValue != repeatable {
		return false, resultcode.New(resultcode.BadRequest, "%s and repeatable differ", headerRepeatable)
	}
	return repeatable, nil
}

// parseDeadline returns the caller's deadline in milliseconds; 0 selects the
// service's default.
func (config Config) parseDeadline(header http.Header) (uint32, error) {
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

// newCallRequest returns a call request with the fields that come from the
// request's headers.
func (exchange *exchange) newCallRequest(kind schedulerv1.CallKind, repeatableInBody *bool) (*schedulerv1.CallRequest, error) {
	header := exchange.request.Header
	config := exchange.gateway.config
	repeatable, err := parseRepeatable(header, repeatableInBody, kind == schedulerv1.CallKind_CALL_KIND_MODEL)
	if err != nil {
		return nil, err
	}
	deadline, err := config.parseDeadline(header)
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
