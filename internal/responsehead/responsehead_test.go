package responsehead

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	ending     = "Content-Length: 0\r\n\r\n"
)

// checkInTwo returns the result of a check of a head that arrives in two parts.
func checkInTwo(head string, split int) error {
	var checker Checker
	checker.Add([]byte(head[:split]))
	checker.Add([]byte(head[split:]))
	return checker.Err()
}

var _ = Describe("Checker", func() {
	DescribeTable("accepts heads that are well-formed, ignores what follows them, and ends where net/http does",
		func(head string) {
			const body = "\n bo dy\r\n"
			for split := range len(head + body) {
				Expect(checkInTwo(head+body, split)).To(Succeed(), "split after %d bytes", split)
			}
			for length := range len(head) {
				Expect(checkInTwo(head[:length], length/2)).To(MatchError(ErrIncomplete), "first %d bytes", length)
			}
			reader := bufio.NewReader(strings.NewReader(head + body))
			_, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(reader.Buffered()).To(Equal(len(body)))
		},
		Entry("no field", statusLine+"\r\n"),
		Entry("fields", statusLine+"A: 1\r\nb:2\r\n"+ending),
		Entry("all characters of a token", statusLine+"!#$%&'*+-.^_`|~09azAZ: 1\r\n"+ending),
		Entry("no value", statusLine+"A:\r\n"+ending),
		Entry("blanks around a value", statusLine+"A: \t 1 \t \r\n"+ending),
		Entry("blanks, colons and a tab within a value", statusLine+"A: 1 : b\tc: d\r\n"+ending),
		Entry("bytes above 7F in a value", statusLine+"A: \xe9\xff\r\n"+ending),
		Entry("no reason", "HTTP/1.1 200 \r\n"+ending),
		Entry("bare line feeds", strings.ReplaceAll(statusLine+"A: 1\r\n"+ending, "\r\n", "\n")),
	)

	malformed := map[string]error{
		"A B: 1\r\n":          ErrFieldName,
		"A : 1\r\n":           ErrFieldName,
		"A: 1\r\nB C: 1\r\n":  ErrFieldName,
		": 1\r\n":             ErrFieldName,
		"A\r\n":               ErrFieldName,
		"A\xe9: 1\r\n":        ErrFieldName,
		"A(: 1\r\n":           ErrFieldName,
		" A: 1\r\n":           ErrFolded,
		"\tA: 1\r\n":          ErrFolded,
		"A: 1\r\n B: 1\r\n":   ErrFolded,
		"A: 1\r\n\tB: 1\r\n":  ErrFolded,
		"A: 1\r\n  \r\n":      ErrFolded,
		"\nA: 1\r\n":          ErrLineEnd,
		"A: 1\nB: 1\r\n":      ErrLineEnd,
		"A: 1\r\n\nB: 1\r\n":  ErrLineEnd,
		"A\n: 1\r\n":          ErrFieldName,
		"\rA: 1\r\n":          ErrFieldName,
		"A: 1\r\n\r\rB:1\r\n": ErrFieldName,
	}
	for control := range byte(0x20) {
		malformed[fmt.Sprintf("A%cB: 1\r\n", control)] = ErrFieldName
	}
	malformed["A\x7fB: 1\r\n"] = ErrFieldName
	for lines, expected := range malformed {
		It(fmt.Sprintf("rejects %q", lines), func() {
			head := statusLine + lines + ending
			for split := range len(head) {
				Expect(checkInTwo(head, split)).To(MatchError(expected), "split after %d bytes", split)
			}
		})
	}

	It("rejects a carriage return before some line feeds if the status line has none", func() {
		Expect(checkInTwo("HTTP/1.1 200 OK\nA: 1\r\n\n", 0)).To(MatchError(ErrLineEnd))
	})
})

var _ = Describe("CheckNames", func() {
	It("accepts tokens alone", func() {
		Expect(CheckNames(http.Header{"Content-Type": {"a b\x01"}, "x~1": {""}})).To(Succeed())
		for _, name := range []string{"", "A B", "A ", " A", "A\x01", "A\r\nB", "A:", "\xe9"} {
			Expect(CheckNames(http.Header{"Content-Type": {"a"}, name: {"1"}})).To(MatchError(ErrFieldName), "%q", name)
		}
	})
})
