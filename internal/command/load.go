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

// mostStatusBytes bounds an answer that is read. 600 engines and 50 tenants come to
// 73 KB.
const mostStatusBytes = 8 << 20

// notKnown stands in a table for a figure that the node does not know, or that there is none of.
const notKnown = "-"

// LoadCommand shows the load as one node knows it.
type LoadCommand struct {
	Address string        `arg:"--address,required" placeholder:"IP:PORT" help:"metrics address of a node; owners of shards tell most, see OWNED"`
	Service string        `arg:"--service" placeholder:"NAME" help:"only what concerns one service"`
	Output  string        `arg:"--output" default:"table" placeholder:"FORMAT" help:"table or json"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"longest wait for the node's answer"`
}

func (command *LoadCommand) run(ctx context.Context, streams Streams) int {
	err := command.check()
	if err != nil {
		return report(streams, err)
	}
	status, content, err := command.ask(ctx)
	if err != nil {
		return command.fail(streams, err)
	}
	if command.Output == outputJSON {
		_, err = streams.Output.Write(content)
	} else {
		err = writeLoad(streams.Output, status)
	}
	if err != nil {
		return report(streams, err)
	}
	return ExitOK
}

// check looks over the flags.
func (command *LoadCommand) check() error {
	if command.Output != outputTable && command.Output != outputJSON {
		return resultcode.New(resultcode.InvalidSettings, "--output: %q is none of table, json", command.Output)
	}
	_, err := netip.ParseAddrPort(command.Address)
	if err != nil {
		return resultcode.New(resultcode.InvalidSettings, "--address: %q is not IP:PORT", command.Address)
	}
	if command.Timeout <= 0 {
		return resultcode.New(resultcode.InvalidSettings, "--timeout: %v is not above 0", command.Timeout)
	}
	return nil
}

// unreached is an exchange that brought no answer.
type unreached struct{ cause error }

func (failure *unreached) Error() string { return "no node answered: " + oneLine(failure.cause) }

// fail writes what went wrong and returns the exit code it stands for.
func (command *LoadCommand) fail(streams Streams, err error) int {
	code := report(streams, err)
	var silent *unreached
	if errors.As(err, &silent) {
		return ExitUnavailable
	}
	return code
}

// ask returns the node's answer, also as it was sent.
func (command *LoadCommand) ask(ctx context.Context) (load.Status, []byte, error) {
	client, err := httpclient.New(httpclient.Options{Timeout: command.Timeout})
	if err != nil {
		return load.Status{}, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, command.target(), nil)
	if err != nil {
		return load.Status{}, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return load.Status{}, nil, &unreached{cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, mostStatusBytes))
	if err != nil {
		return load.Status{}, nil, &unreached{cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return load.Status{}, nil, command.refusal(response.StatusCode, content)
	}
	var status load.Status
	err = json.Unmarshal(content, &status)
	if err != nil || status.Node == "" {
		return load.Status{}, nil, command.notANode(response.StatusCode)
	}
	return status, content, nil
}

func (command *LoadCommand) target() string {
	target := url.URL{Scheme: "http", Host: command.Address, Path: load.StatusPath}
	if command.Service != "" {
		target.RawQuery = url.Values{load.StatusService: {command.Service}}.Encode()
	}
	return target.String()
}

// refusal is what an answer that is no success says.
func (command *LoadCommand) refusal(httpStatus int, content []byte) error {
	var body httpserver.ErrorBody
	err := json.Unmarshal(content, &body)
	if err != nil || body.Error.Code == resultcode.OK {
		return command.notANode(httpStatus)
	}
	return resultcode.New(body.Error.Code, "%s", body.Error.Message)
}

func (command *LoadCommand) notANode(httpStatus int) error {
	return resultcode.New(resultcode.InvalidSettings, "--address: %s serves no load (HTTP %d); it has to be a node's metrics address", command.Address, httpStatus)
}

// writeLoad writes a status for people, a table for each of its parts.
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
	age := notKnown
	if status.View.AgeMillis != nil {
		age = (time.Duration(*status.View.AgeMillis) * time.Millisecond).String()
	}
	return newTable("NODE", "ZONE", "OWNED", "VIEW", "AGE", "NODES", "GATHERED", "CUT OFF", "ZONES OUT OF REACH").add(status.Node, status.Zone,
		share(status.OwnedShare), word(status.View.Known, "known", "unknown"), age, status.View.Nodes, status.View.ReportingNodes,
		word(status.ZoneIsolated, "yes", "no"), list(status.UnreachableZones))
}

func servicesTable(services []load.ServiceStatus) table {
	rows := newTable("SERVICE", "ENGINES", "PASSED OVER", "SLOTS", "SOUND", "RUNNING", "WAITING (RANK:CALLS)", "HERE", "TOOL CALLS")
	for _, service := range services {
		rows = rows.add(service.Service, service.Engines, service.AvoidedEngines, service.Slots, service.HealthySlots, count(service.Running),
			ranks(service.Waiting), ranks(service.WaitingLocally), count(service.ToolCalls))
	}
	return rows
}

func admissionTable(resources []load.AdmissionStatus) table {
	rows := newTable("ADMISSION", "RESOURCE", "DEMAND", "LIMIT", "CAPACITY")
	for _, resource := range resources {
		rows = rows.add(resource.Service, resource.Resource, figure(resource.Demand), figure(resource.Limit), figure(resource.Capacity))
	}
	return rows
}

func routesTable(status load.Status) table {
	rows := newTable("ROUTE", "SERVICE", "RANK", "PROGRAMS", "TURNS", "BEGUN/S", "REFUSED/S", "LATE/S")
	for _, route := range status.Routes {
		rows = rows.add(route.Route, route.Service, route.Priority, route.Programs, route.Turns,
			figure(route.StartedPerSecond), figure(route.RefusedPerSecond), figure(route.LatePerSecond))
	}
	return rows.addOthers(status.OtherRoutes)
}

func tenantsTable(status load.Status) table {
	rows := newTable("TENANT", "RANK", "PROGRAMS", "FAIR")
	for _, tenant := range status.Tenants {
		fair := notKnown
		if tenant.FairShare != nil {
			fair = figure(*tenant.FairShare)
		}
		rows = rows.add(tenant.Tenant, tenant.Priority, tenant.Programs, fair)
	}
	return rows.addOthers(status.OtherTenants)
}

// addOthers tells how many are left out.
func (rows table) addOthers(others int) table {
	if others == 0 {
		return rows
	}
	return rows.add(fmt.Sprintf("(%d more)", others))
}

func enginesTable(engines []load.EngineStatus) table {
	rows := newTable("ENGINE", "SERVICE", "ZONE", "REACHED", "SLOTS", "RUNNING", "HERE", "PASSED OVER")
	for _, engine := range engines {
		rows = rows.add(engine.Engine, engine.Service, engine.Zone, word(engine.ZoneReachable, "yes", "no"), engine.Slots, count(engine.Running),
			engine.RunningLocally, list(engine.AvoidReasons))
	}
	return rows
}

func word(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func count(value *int) string {
	if value == nil {
		return notKnown
	}
	return strconv.Itoa(*value)
}

// figure writes a number with one digit after the point.
func figure(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }

// share writes a part of 1.
func share(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

func list(names []string) string {
	if len(names) == 0 {
		return notKnown
	}
	return strings.Join(names, ",")
}

func ranks(counts []load.PriorityCalls) string {
	shown := make([]string, 0, len(counts))
	for _, each := range counts {
		shown = append(shown, fmt.Sprintf("%d:%d", each.Priority, each.Calls))
	}
	return list(shown)
}
