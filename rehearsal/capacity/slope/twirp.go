package slope

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
)

// twirpCalls is how many calls are averaged.
const twirpCalls = 10_000

// bothEnds of a call run in this process.
const bothEnds = 2

// countingConnection counts the bytes that pass in both directions.
type countingConnection struct {
	net.Conn
	count *atomic.Int64
}

// Read reads from the connection.
func (connection countingConnection) Read(buffer []byte) (int, error) {
	length, err := connection.Conn.Read(buffer)
	connection.count.Add(int64(length))
	return length, err
}

// Write writes to the connection.
func (connection countingConnection) Write(buffer []byte) (int, error) {
	connection.count.Add(int64(len(buffer)))
	return connection.Conn.Write(buffer)
}

// statusService answers Status alone.
type statusService struct{ schedulerv1.Programs }

// Status answers with an empty reply.
func (statusService) Status(context.Context, *schedulerv1.StatusRequest) (*schedulerv1.StatusReply, error) {
	return &schedulerv1.StatusReply{}, nil
}

// measureTwirp makes empty calls one after another over nbhttp on loopback.
func measureTwirp() ([]Measurement, error) {
	server, err := httpserver.Start("127.0.0.1:0", schedulerv1.NewProgramsServer(statusService{}), httpserver.Limits{})
	if err != nil {
		return nil, eris.Wrap(err, "start server")
	}
	defer func() { _ = server.Shutdown(context.Background()) }()
	var count atomic.Int64
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, target)
		return countingConnection{connection, &count}, err
	}}
	defer transport.CloseIdleConnections()
	client := schedulerv1.NewProgramsProtobufClient("http://"+server.Address(), &http.Client{Transport: transport})
	before := processorTime()
	for range twirpCalls {
		if _, err := client.Status(context.Background(), &schedulerv1.StatusRequest{}); err != nil {
			return nil, eris.Wrap(err, "call")
		}
	}
	used := float64((processorTime() - before).Microseconds())
	return []Measurement{
		{Name: "http_bytes", Values: []float64{float64(count.Load()) / twirpCalls}, Unit: "B"},
		{Name: "rpc_us", Values: []float64{used / twirpCalls / bothEnds}, Unit: "µs"},
	}, nil
}
