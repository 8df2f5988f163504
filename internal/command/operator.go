package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/certificate"
	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/operator"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

const (
	keyEnvironmentVariable = "MAGPIELUG_OPERATOR_KEY"
	authorizationHeader    = "Authorization"
	bearerPrefix           = "Bearer "
	defaultScheme          = "http://"
	outputTable            = "table"
	outputJSON             = "json"
)

// OperatorCommand calls the operator API of a gateway.
type OperatorCommand struct {
	Address   []string      `arg:"--address,separate,env:MAGPIELUG_ADDRESS" placeholder:"IP:PORT" help:"gateway address; if repeated, the next one is tried when one does not respond"`
	KeyFile   string        `arg:"--key-file,env:MAGPIELUG_OPERATOR_KEY_FILE" placeholder:"FILE" help:"file with the operators' key; default: the value of MAGPIELUG_OPERATOR_KEY"`
	Authority string        `arg:"--authority-file,env:MAGPIELUG_AUTHORITY_FILE" placeholder:"FILE" help:"PEM file with the CA of the gateways' certificates; enables TLS"`
	Output    string        `arg:"--output" default:"table" placeholder:"FORMAT" help:"table or json"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"maximum wait for a gateway's response"`

	Publish     *PublishCommand     `arg:"subcommand:publish" help:"publish a whole configuration"`
	Get         *GetCommand         `arg:"subcommand:get" help:"show the configuration in force on the gateway"`
	Nodes       *NodesCommand       `arg:"subcommand:nodes" help:"list all processes with their configuration version"`
	Drain       *DrainCommand       `arg:"subcommand:drain" help:"stop sending new work to a back end"`
	Programs    *ProgramsCommand    `arg:"subcommand:programs" help:"list programs"`
	StopProgram *StopProgramCommand `arg:"subcommand:stop-program" help:"stop a program and release its cache"`
	Explain     *ExplainCommand     `arg:"subcommand:explain" help:"show the last scheduling decisions for a call"`
}

// usageError is an invalid flag or input file of an operator sub-command.
type usageError struct{ reason string }

func (failure *usageError) Error() string { return failure.reason }

// action is one operator sub-command.
type action interface {
	// call sends the request and returns the reply.
	call(ctx context.Context, client operatorv1.Operator) (proto.Message, error)
	// table formats the reply as a table.
	table(reply proto.Message) table
}

func (command *OperatorCommand) action() action {
	switch {
	case command.Publish != nil:
		return command.Publish
	case command.Get != nil:
		return command.Get
	case command.Nodes != nil:
		return command.Nodes
	case command.Drain != nil:
		return command.Drain
	case command.Programs != nil:
		return command.Programs
	case command.StopProgram != nil:
		return command.StopProgram
	}
	return command.Explain
}

func (command *OperatorCommand) run(ctx context.Context, streams Streams) int {
	chosen := command.action()
	reply, err := command.send(ctx, chosen)
	if err != nil {
		return command.reportFailure(streams, err)
	}
	err = command.print(streams, chosen, reply)
	if err != nil {
		return command.reportFailure(streams, err)
	}
	return ExitOK
}

// send calls the gateways in turn until one responds. Requests can be repeated
// safely, as changes are idempotent by their change ID.
func (command *OperatorCommand) send(ctx context.Context, chosen action) (proto.Message, error) {
	key, err := command.validate()
	if err != nil {
		return nil, err
	}
	ctx, err = withAuthorization(ctx, key)
	if err != nil {
		return nil, err
	}
	httpClient, err := command.newHTTPClient()
	if err != nil {
		return nil, err
	}
	var failures []error
	for _, address := range command.Address {
		client := operatorv1.NewOperatorProtobufClient(baseURL(address), httpClient)
		reply, callErr := chosen.call(ctx, client)
		if callErr == nil || isFinal(callErr) {
			return reply, callErr
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, callErr))
	}
	return nil, errors.Join(failures...)
}

func (command *OperatorCommand) newHTTPClient() (*http.Client, error) {
	options := httpclient.Options{Timeout: command.Timeout}
	if command.Authority != "" {
		source, err := certificate.NewSource(certificate.Files{Authority: command.Authority}, nil)
		if err != nil {
			return nil, &usageError{"--authority-file: " + err.Error()}
		}
		options.TLS = source.ClientConfig
	}
	return httpclient.New(options)
}

// isFinal reports whether trying another gateway would give the same error.
func isFinal(err error) bool {
	var usage *usageError
	if errors.As(err, &usage) {
		return true
	}
	failure := operator.FromTwirp(err)
	return failure != nil && !isUnavailable(failure.Code)
}

// validate checks the flags and returns the operators' key.
func (command *OperatorCommand) validate() (string, error) {
	if command.Output != outputTable && command.Output != outputJSON {
		return "", &usageError{fmt.Sprintf("--output: %q is not one of table, json", command.Output)}
	}
	if len(command.Address) == 0 {
		return "", &usageError{"--address: missing"}
	}
	key := os.Getenv(keyEnvironmentVariable)
	if command.KeyFile != "" {
		content, err := os.ReadFile(command.KeyFile)
		if err != nil {
			return "", &usageError{fmt.Sprintf("--key-file: %v", err)}
		}
		key = string(content)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return "", &usageError{"the operators' key is missing: use --key-file or " + keyEnvironmentVariable}
	}
	return key, nil
}

func withAuthorization(ctx context.Context, key string) (context.Context, error) {
	header := http.Header{}
	header.Set(authorizationHeader, bearerPrefix+key)
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return defaultScheme + address
}

// reportFailure writes err and returns its exit code.
func (command *OperatorCommand) reportFailure(streams Streams, err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		fmt.Fprintf(streams.Errors, "%s: %v\n", programName, err)
		return ExitUsage
	}
	failure := operator.FromTwirp(err)
	if failure == nil {
		fmt.Fprintf(streams.Errors, "%s: no gateway answered: %s\n", programName, oneLine(err))
		return ExitUnavailable
	}
	command.printError(streams, failure)
	if isUnavailable(failure.Code) {
		return ExitUnavailable
	}
	return ExitRefused
}

// isUnavailable reports whether the same request may succeed later or on another
// gateway.
func isUnavailable(code resultcode.Code) bool {
	switch resultcode.Lookup(code).Status {
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
