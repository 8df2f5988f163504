package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// maxStatusBytes bounds the response that is read. With 600 engines and 50
// tenants it is 73 KB.
const maxStatusBytes = 8 << 20

// unknownValue is the table cell for a value that is unknown or does not exist.
const unknownValue = "-"

// LoadCommand shows the load status of one node.
type LoadCommand struct {
	Address string        `arg:"--address,required" placeholder:"IP:PORT" help:"metrics address of a node; nodes that own shards report the most, see OWNED"`
	Service string        `arg:"--service" placeholder:"NAME" help:"show only this service"`
	Output  string        `arg:"--output" default:"table" placeholder:"FORMAT" help:"table or json"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"maximum wait for the node's response"`
}

func (command *LoadCommand) run(ctx context.Context, streams Streams) int {
	err := command.validate()
	if err != nil {
		return reportError(streams, err)
	}
	status, content, err := command.fetch(ctx)
	if err != nil {
		return command.reportFailure(streams, err)
	}
	if command.Output == outputJSON {
		_, err = streams.Output.Write(content)
	} else {
		err = writeLoad(streams.Output, status)
	}
	if err != nil {
		return reportError(streams, err)
	}
	return ExitOK
}

// validate checks the flags.
func (command *LoadCommand) validate() error {
	if command.Output != outputTable && command.Output != outputJSON {
		return resultcode.New(resultcode.InvalidSettings, "--output: %q is not one of table, json", command.Output)
	}
	_, err := netip.ParseAddrPort(command.Address)
	if err != nil {
		return resultcode.New(resultcode.InvalidSettings, "--address: %q is not IP:PORT", command.Address)
	}
	if command.Timeout <= 0 {
		return resultcode.New(resultcode.InvalidSettings, "--timeout: %v must be above 0", command.Timeout)
	}
	return nil
}

// unreachableError is a request to a node that failed without a response.
type unreachableError struct{ cause error }

func (failure *unreachableError) Error() string {
	return "no response from the node: " + oneLine(failure.cause)
}

// reportFailure writes err and returns its exit code.
func (command *LoadCommand) reportFailure(streams Streams, err error) int {
	code := reportError(streams, err)
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return ExitUnavailable
	}
	return code
}

// fetch returns the node's status, decoded and as the JSON received.
func (command *LoadCommand) fetch(ctx context.Context) (load.Status, []byte, error) {
	client, err := httpclient.New(httpclient.Options{Timeout: command.Timeout})
	if err != nil {
		return load.Status{}, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, command.statusURL(), nil)
	if err != nil {
		return load.Status{}, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return load.Status{}, nil, &unreachableError{cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return load.Status{}, nil, &unreachableError{cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return load.Status{}, nil, command.responseError(response.StatusCode, content)
	}
	var status load.Status
	err = json.Unmarshal(content, &status)
	if err != nil || status.Node == "" {
		return load.Status{}, nil, command.notNodeError(response.StatusCode)
	}
	return status, content, nil
}

func (command *LoadCommand) statusURL() string {
	target := url.URL{Scheme: "http", Host: command.Address, Path: load.StatusPath}
	if command.Service != "" {
		target.RawQuery = url.Values{load.StatusServiceParameter: {command.Service}}.Encode()
	}
	return target.String()
}

// responseError returns the error in the body of a response other than 200.
func (command *LoadCommand) responseError(httpStatus int, content []byte) error {
	var body httpserver.ErrorBody
	err := json.Unmarshal(content, &body)
	if err != nil || body.Error.Code == resultcode.OK {
		return command.notNodeError(httpStatus)
	}
	return resultcode.New(body.Error.Code, "%s", body.Error.Message)
}

func (command *LoadCommand) notNodeError(httpStatus int) error {
	return resultcode.New(resultcode.InvalidSettings, "--address: %s does not serve load status (HTTP %d); use a node's metrics address", command.Address, httpStatus)
}

// writeLoad writes a status as tables.
func writeLoad(output io.Writer, status load.Status) error {
	tables := []table{
		nodeTable(status),
		servicesTable(status.Services),
		admissionTable(status.Admission),
		routesTable(status),
		tenantsTable(status),
		enginesTable(status.Engines),
	}
	for index, shown := range tables {
		if index > 0 {
			fmt.Fprintln(output)
		}
		err := shown.write(output)
		if err != nil {
			return err
		}
	}
	return nil
}

func nodeTable(status load.Status) table {
	age := unknownValue
	if status.View.AgeMillis != nil {
		age = (time.Duration(*status.View.AgeMillis) * time.Millisecond).String()
	}
	return newTable("NODE", "ZONE", "OWNED", "VIEW", "AGE", "NODES", "GATHERED", "CUT OFF", "ZONES OUT OF REACH").add(status.Node, status.Zone,
		formatFraction(status.OwnedShare), chooseText(status.View.Known, "known", "unknown"), age, status.View.Nodes, status.View.ReportingNodes,
		chooseText(status.ZoneIsolated, "yes", "no"), formatList(status.UnreachableZones))
}

func servicesTable(services []load.ServiceStatus) table {
	rows := newTable("SERVICE", "ENGINES", "PASSED OVER", "SLOTS", "SOUND", "RUNNING", "WAITING (RANK:CALLS)", "HERE", "TOOL CALLS")
	for _, service := range services {
		rows = rows.add(service.Service, service.Engines, service.AvoidedEngines, service.Slots, service.HealthySlots, formatOptionalCount(service.Running),
			formatPriorityCalls(service.Waiting), formatPriorityCalls(service.WaitingLocally), formatOptionalCount(service.ToolCalls))
	}
	return rows
}

func admissionTable(resources []load.AdmissionStatus) table {
	rows := newTable("ADMISSION", "RESOURCE", "DEMAND", "LIMIT", "CAPACITY")
	for _, resource := range resources {
		rows = rows.add(resource.Service, resource.Resource, formatDecimal(resource.Demand), formatDecimal(resource.Limit), formatDecimal(resource.Capacity))
	}
	return rows
}

func routesTable(status load.Status) table {
	rows := newTable("ROUTE", "SERVICE", "RANK", "PROGRAMS", "TURNS", "BEGUN/S", "REFUSED/S", "LATE/S")
	for _, route := range status.Routes {
		rows = rows.add(route.Route, route.Service, route.Priority, route.Programs, route.Turns,
			formatDecimal(route.StartedPerSecond), formatDecimal(route.RefusedPerSecond), formatDecimal(route.LatePerSecond))
	}
	return rows.addOmitted(status.OtherRoutes)
}

func tenantsTable(status load.Status) table {
	rows := newTable("TENANT", "RANK", "PROGRAMS", "FAIR")
	for _, tenant := range status.Tenants {
		fair := unknownValue
		if tenant.FairShare != nil {
			fair = formatDecimal(*tenant.FairShare)
		}
		rows = rows.add(tenant.Tenant, tenant.Priority, tenant.Programs, fair)
	}
	return rows.addOmitted(status.OtherTenants)
}

// addOmitted adds a row with the number of omitted entries, if there are any.
func (rows table) addOmitted(omitted int) table {
	if omitted == 0 {
		return rows
	}
	return rows.add(fmt.Sprintf("(%d more)", omitted))
}

func enginesTable(engines []load.EngineStatus) table {
	rows := newTable("ENGINE", "SERVICE", "ZONE", "REACHED", "SLOTS", "RUNNING", "HERE", "PASSED OVER")
	for _, engine := range engines {
		rows = rows.add(engine.Engine, engine.Service, engine.Zone, chooseText(engine.ZoneReachable, "yes", "no"), engine.Slots, formatOptionalCount(engine.Running),
			engine.RunningLocally, formatList(engine.AvoidReasons))
	}
	return rows
}

func chooseText(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func formatOptionalCount(value *int) string {
	if value == nil {
		return unknownValue
	}
	return strconv.Itoa(*value)
}

// formatDecimal formats a number with one decimal place.
func formatDecimal(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }

// formatFraction formats a fraction of 1 with three decimal places.
func formatFraction(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

func formatList(names []string) string {
	if len(names) == 0 {
		return unknownValue
	}
	return strings.Join(names, ",")
}

func formatPriorityCalls(counts []load.PriorityCalls) string {
	shown := make([]string, 0, len(counts))
	for _, each := range counts {
		shown = append(shown, fmt.Sprintf("%d:%d", each.Priority, each.Calls))
	}
	return formatList(shown)
}
