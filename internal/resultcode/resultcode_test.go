package resultcode_test

import (
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
)

// declaredCodes returns every constant of type resultcode.Code by type-checking
// the source.
func declaredCodes() map[string]resultcode.Code {
	files := token.NewFileSet()
	source, err := parser.ParseFile(files, "resultcode.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	checker := types.Config{Importer: importer.ForCompiler(files, "source", nil)}
	checked, err := checker.Check("resultcode", files, []*ast.File{source}, nil)
	Expect(err).NotTo(HaveOccurred())
	codes := map[string]resultcode.Code{}
	for _, name := range checked.Scope().Names() {
		constant, isConstant := checked.Scope().Lookup(name).(*types.Const)
		if isConstant && strings.HasSuffix(constant.Type().String(), ".Code") {
			codes[name] = codeValue(constant)
		}
	}
	return codes
}

func codeValue(constant *types.Const) resultcode.Code {
	var value resultcode.Code
	for _, digit := range constant.Val().ExactString() {
		value = value*10 + resultcode.Code(digit-'0')
	}
	return value
}

var _ = Describe("Table", func() {
	It("has one entry with a matching name for each declared code, in ascending order", func() {
		declared := declaredCodes()
		Expect(resultcode.Table).To(HaveLen(len(declared)))
		names := map[resultcode.Code]string{}
		for name, code := range declared {
			Expect(names).NotTo(HaveKey(code))
			names[code] = name
		}
		for index, entry := range resultcode.Table {
			if index > 0 {
				Expect(entry.Code).To(BeNumerically(">", resultcode.Table[index-1].Code))
			}
			plain := strings.ReplaceAll(entry.Name, "_", "")
			Expect(strings.EqualFold(plain, names[entry.Code])).To(BeTrue(), entry.Name)
			Expect(entry.Meaning).To(HaveSuffix("."))
		}
	})

	It("matches docs/RESULT_CODES.md exactly", func() {
		page, err := os.ReadFile("../../docs/RESULT_CODES.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(ContainSubstring(resultcode.Markdown()))
		Expect(strings.Count(string(page), "\n| ")).To(Equal(len(resultcode.Table) + 1))
	})
})

var _ = Describe("Error", func() {
	It("keeps its code when wrapped, and is not modified by setting a retry delay", func() {
		refusal := resultcode.New(resultcode.Overloaded, "wait %d s", 3)
		later := refusal.WithRetryAfter(time.Second)
		Expect(refusal.RetryAfter).To(BeZero())
		Expect(later.RetryAfter).To(Equal(time.Second))
		Expect(resultcode.CodeOf(eris.Wrap(later, "call"))).To(Equal(resultcode.Overloaded))
		Expect(resultcode.CodeOf(errors.New("other"))).To(Equal(resultcode.Internal))
		Expect(resultcode.CodeOf(nil)).To(Equal(resultcode.OK))
		Expect(refusal.Error()).To(Equal("2001 OVERLOADED: wait 3 s"))
		Expect(resultcode.Lookup(1234).Code).To(Equal(resultcode.Internal))
	})
})
