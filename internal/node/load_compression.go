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
	// minCompressBytes is the size from which reports are compressed; below it the compression
	// header outweighs the savings.
	minCompressBytes = 128
	// maxDecompressedBytes bounds decompressed messages. Reports and engine lists take some 9 KB
	// each at the target size.
	maxDecompressedBytes = 256 << 10
)

var errMessageTooLong = errors.New("decompressed load message exceeds the size limit")

// compressors pools flate writers, each of which allocates about 512 KB.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // BestSpeed is a valid level.
	}
	return writer
}}

// compressReport returns the compressed form of a report if that is shorter.
func compressReport(report *nodev1.LoadReport) *nodev1.LoadReport {
	if proto.Size(report) < minCompressBytes {
		return report
	}
	content, err := proto.Marshal(report)
	if err != nil {
		return report
	}
	compressed := compress(content)
	if len(compressed) == 0 || len(compressed) >= len(content) {
		return report
	}
	return &nodev1.LoadReport{Packed: compressed}
}

// compress returns the compressed content, or nil on failure.
func compress(content []byte) []byte {
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

// decompressReport reverses compressReport.
func decompressReport(message *nodev1.LoadReport) (*nodev1.LoadReport, error) {
	if len(message.GetPacked()) == 0 {
		return message, nil
	}
	content, err := decompress(message.GetPacked())
	if err != nil {
		return nil, err
	}
	report := &nodev1.LoadReport{}
	err = proto.Unmarshal(content, report)
	return report, err
}

// decompress reverses compress. It returns errMessageTooLong beyond maxDecompressedBytes.
func decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	content, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxDecompressedBytes {
		return nil, errMessageTooLong
	}
	return content, nil
}
