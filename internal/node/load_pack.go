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
	// mostUnpackedBytes bounds what is unpacked: some twenty times the longest report and the
	// list of engines at the target size, 9 KB each.
	mostUnpackedBytes = 256 << 10
)

var errLongMessage = errors.New("a message about load is too long")

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
	content, err := decompressed(message.GetPacked())
	if err != nil {
		return nil, err
	}
	report := &nodev1.LoadReport{}
	err = proto.Unmarshal(content, report)
	return report, err
}

// decompressed is the reverse of compressed.
func decompressed(short []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(short))
	content, err := io.ReadAll(io.LimitReader(reader, mostUnpackedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > mostUnpackedBytes {
		return nil, errLongMessage
	}
	return content, nil
}
