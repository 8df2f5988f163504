package wire

import (
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const interfacesPage = "../../../docs/INTERFACES.md"

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire bodies")
}

// names returns the JSON names of a type's fields, including nested ones.
func names(shape reflect.Type) []string {
	for shape.Kind() == reflect.Slice || shape.Kind() == reflect.Pointer {
		shape = shape.Elem()
	}
	var found []string
	if shape.Kind() != reflect.Struct {
		return nil
	}
	for index := range shape.NumField() {
		field := shape.Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		found = append(found, name)
		found = append(found, names(field.Type)...)
	}
	return found
}

var _ = Describe("INTERFACES.md", func() {
	content, err := os.ReadFile(interfacesPage)

	It("names every path, error code and field", func() {
		Expect(err).NotTo(HaveOccurred())
		wanted := []string{
			PathGenerate, PathCancel, PathRelease, PathExport, PathImport, PathLoad, PathRole, PathEvents, PathReport,
			PathLogAppend, PathLogRead, PathLogStreams, PathMachines, PathWeightsReserve, PathToolCall,
			EventChunk, EventError,
		}
		codes := []ErrorCode{
			CodeBadRequest, CodeNotFound, CodeMismatch, CodeStaleFence, CodeUnavailable, CodeLeaving,
			CodeWrongModel, CodeOverloaded, CodeCancelled, CodeExpired, CodeInternal,
		}
		for _, code := range codes {
			wanted = append(wanted, string(code))
		}
		shapes := []any{
			Error{}, GenerateRequest{}, Chunk{}, CancelRequest{}, ProgramRequest{}, BlocksResponse{}, ExportResponse{},
			ImportRequest{}, LoadRequest{}, RoleRequest{}, EventsResponse{}, LoadReport{}, AppendRequest{}, AppendResponse{},
			ReadResponse{}, StreamsResponse{}, MachinesResponse{}, ReserveRequest{}, ReserveResponse{}, ToolRequest{}, ToolResponse{},
		}
		for _, shape := range shapes {
			wanted = append(wanted, names(reflect.TypeOf(shape))...)
		}
		for _, word := range wanted {
			Expect(string(content)).To(MatchRegexp(`[^a-z_]` + word + `[^a-z_]`))
		}
	})
})
