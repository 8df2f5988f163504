package node

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"google.golang.org/protobuf/proto"
)

const (
	// worthPacking is the length from which on a report is compressed, bytes: below it the
	// table of a compressed report costs about what it spares.
	worthPacking = 128
	// mostReportBytes bounds a report that is unpacked: some twenty times the longest at
	// the target size, 9 KB.
	mostReportBytes = 256 << 10
)

var errLongReport = errors.New("the report of load is too long")

// compressors are kept, for one takes half a megabyte to make.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant that the package knows.
	}
	return writer
}}

// packed returns a report compressed where it is shorter so.
func packed(report *nodev1.LoadReport) *nodev1.LoadReport {
	if proto.Size(report) < worthPacking {
		return report
	}
	content, err := proto.Marshal(report)
	if err != nil {
		return report
	}
	short := compressed(content)
	if len(short) == 0 || len(short) >= len(content) {
		return report
	}
	return &nodev1.LoadReport{Packed: short}
}

// compressed returns content compressed, nothing where that fails.
func compressed(content []byte) []byte {
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	buffer := bytes.Buffer{}
	writer.Reset(&buffer)
	_, err := writer.Write(content)
	if err != nil || writer.Close() != nil {
		return nil
	}
	return buffer.Bytes()
}

// unpacked is the reverse of packed.
func unpacked(message *nodev1.LoadReport) (*nodev1.LoadReport, error) {
	if len(message.GetPacked()) == 0 {
		return message, nil
	}
	reader := flate.NewReader(bytes.NewReader(message.GetPacked()))
	content, err := io.ReadAll(io.LimitReader(reader, mostReportBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > mostReportBytes {
		return nil, errLongReport
	}
	report := &nodev1.LoadReport{}
	err = proto.Unmarshal(content, report)
	return report, err
}
