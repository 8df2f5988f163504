package losses_test

import (
	"strings"
	"testing"
	"time"

	"github.com/magpielug/magpielug/rehearsal/losses"
	. "github.com/onsi/gomega"
)

// sample is the output of a run: log lines of two nodes interleaved with other text.
const sample = `a headline
   0.3 n1 time=2026-01-01T00:00:00.100Z level=info event="node starting" node=n1
   1.0 n1 time=2026-01-01T00:00:01Z level=info event="call answered" request=r1 result=OK program=whole events=3
   1.1 n2 time=2026-01-01T00:00:01.1Z level=info event="call answered" request=r2 result=OK program=tool events=2
   1.2 n2 time=2026-01-01T00:00:01.2Z level=info event="call failed" request=r3 result=NO_BACK_END program=tool engine=e1 failure="2009 NO_BACK_END: none of 2 engines has room"
   2.5 n1 time=2026-01-01T00:00:02.5Z level=info event="call failed" request=r4 result=NO_LEADER program=turn verdict=VERDICT_WAITING failure="2006 NO_LEADER: x"
   2.6 n1 time=2026-01-01T00:00:02.6Z level=info event="call failed" request=r5 result=PROGRAM_CAP_REACHED program=loops verdict=VERDICT_SPENT
   2.7 n1 time=2026-01-01T00:00:02.7Z level=info event="call failed" request=r6 result=NO_LEADER program=again verdict=VERDICT_WAITING
   2.8 n2 time=2026-01-01T00:00:02.8Z level=info event="call answered" request=r7 result=OK program=again events=1
`

func TestLosses(t *testing.T) {
	expect := NewWithT(t)
	found, first, err := losses.Read(strings.NewReader(sample))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(first.UnixMilli()).To(Equal(time.Date(2026, 1, 1, 0, 0, 0, 100e6, time.UTC).UnixMilli()))
	tool := losses.Cause{Result: "NO_BACK_END", SentToEngine: true}
	turn := losses.Cause{Turn: true, Result: "NO_LEADER", Verdict: "VERDICT_WAITING"}
	expect.Expect(found).To(HaveLen(2))
	expect.Expect(found[0].Program).To(Equal("tool"))
	expect.Expect(found[0].Cause).To(Equal(tool))
	expect.Expect(found[0].Answered).To(Equal(1))
	expect.Expect(found[1].Cause).To(Equal(turn))

	windows := losses.GroupByWindow(found, first, 2*time.Second)
	expect.Expect(windows).To(HaveLen(2))
	expect.Expect(windows[0].Causes).To(Equal(map[losses.Cause]int{tool: 1}))
	expect.Expect(windows[1].Start).To(Equal(2 * time.Second))

	var output strings.Builder
	expect.Expect(losses.Write(&output, found, windows, 1)).To(Succeed())
	expect.Expect(output.String()).To(ContainSubstring("tool NO_BACK_END sent: 1"))
	expect.Expect(output.String()).To(ContainSubstring("request=r4"))
}

func TestUnknownTurns(t *testing.T) {
	expect := NewWithT(t)
	const output = `
1.0 n1 time=2026-01-01T00:00:01Z event="call answered" request=kept result=OK program=first events=3
1.1 n2 time=2026-01-01T00:00:02Z event="call failed" request=r2 result=UNKNOWN_TURN program=forged verdict=VERDICT_NO_SUCH_TURN failure="1012 UNKNOWN_TURN: previous turn never does not exist"
1.2 n2 time=2026-01-01T00:00:03Z event="call failed" request=r3 result=UNKNOWN_TURN program=owed verdict=VERDICT_NO_SUCH_TURN failure="1012 UNKNOWN_TURN: previous turn kept does not exist"
`
	found, _, err := losses.Read(strings.NewReader(output))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(found).To(HaveLen(1), "only the program whose previous turn was answered")
	expect.Expect(found[0].Program).To(Equal("owed"))
}

func TestTenants(t *testing.T) {
	expect := NewWithT(t)
	const output = `
1.0 n1 time=2026-01-01T00:00:01Z event="call failed" request=r1 result=QUOTA_EXCEEDED program=a tenant=first failure="2014 QUOTA_EXCEEDED: x"
1.1 n2 time=2026-01-01T00:00:02Z event="call failed" request=r2 result=QUOTA_EXCEEDED program=b tenant=first failure="2014 QUOTA_EXCEEDED: x"
1.2 n2 time=2026-01-01T00:00:03Z event="call failed" request=r3 result=NO_BACK_END program=c tenant=second failure="2009 NO_BACK_END: x"
1.3 n2 time=2026-01-01T00:00:03Z event="call failed" request=r4 result=BAD_KEY program=d failure="1003 BAD_KEY: x"
`
	found, first, err := losses.Read(strings.NewReader(output))
	expect.Expect(err).NotTo(HaveOccurred())
	expect.Expect(found).To(HaveLen(3), "a call with an unknown key is not a loss")
	var written strings.Builder
	expect.Expect(losses.Write(&written, found, losses.GroupByWindow(found, first, time.Second), 0)).To(Succeed())
	expect.Expect(written.String()).To(ContainSubstring("by tenant, 2 with losses:\n  first: 2\n  second: 1\n"))
}
