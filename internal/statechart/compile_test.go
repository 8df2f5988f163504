package statechart_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/statechart"
)

const door = `
name: door
description: A door.
initial: open
events:
  - {name: close, description: Shut it.}
  - {name: remove, description: Take it out.}
states:
  - name: open
    description: Open.
    transitions: {close: closed}
    refuse: {BAD_REQUEST: [remove]}
  - name: closed
    description: Closed.
    transitions: {remove: removed}
    ignore: [close]
  - name: removed
    description: Gone.
    final: true
    ignore: [close, remove]
`

func compile(content string) (*statechart.Chart[uint8, uint8], error) {
	definition, err := statechart.Parse([]byte(content))
	if err != nil {
		return nil, err
	}
	return statechart.Compile[uint8, uint8](definition)
}

var _ = Describe("loading a chart", func() {
	It("takes a complete chart", func() {
		chart, err := compile(door)
		Expect(err).NotTo(HaveOccurred())
		Expect(chart.Initial()).To(BeZero())
		Expect(chart.Final(2)).To(BeTrue())
		Expect(chart.Ignores(1, 0)).To(BeTrue())
		_, refusal := chart.Next(0, 1)
		Expect(refusal).To(MatchError("1001 BAD_REQUEST: door in state open does not take event remove"))
	})

	DescribeTable("refuses a faulty chart",
		func(old, replacement, complaint string) {
			Expect(door).To(ContainSubstring(old))
			_, err := compile(strings.Replace(door, old, replacement, 1))
			Expect(err).To(MatchError(ContainSubstring(complaint)))
		},
		Entry("unknown key", "initial: open", "initial: open\nstart: open", "field start not found"),
		Entry("unknown initial state", "initial: open", "initial: ajar", "unknown initial state"),
		Entry("missing answer", "    refuse: {BAD_REQUEST: [remove]}\n", "", "no answer to event remove"),
		Entry("two answers", "ignore: [close, remove]", "ignore: [close, remove, close]", "stands twice"),
		Entry("unknown event", "ignore: [close, remove]", "ignore: [close, remove, paint]", "unknown event"),
		Entry("unknown next state", "{close: closed}", "{close: shut}", "unknown state"),
		Entry("unknown code", "BAD_REQUEST", "BAD_DAY", "unknown result code"),
		Entry("success as a refusal", "BAD_REQUEST", "OK", "unknown result code"),
		Entry("state twice", "name: closed", "name: open", "stands twice"),
		Entry("bad name", "name: closed", "name: Closed", "bad name"),
		Entry("no description", "description: Closed.", "description: ''", "no description"),
		Entry("transition out of a final state", "ignore: [close, remove]", "transitions: {close: open}\n    ignore: [remove]", "has a transition"),
		Entry("no way out", "    transitions: {remove: removed}\n    ignore: [close]", "    ignore: [close, remove]", "no way to a final state"),
		Entry("no final state", "final: true", "final: false", "no way to a final state"),
		Entry("unreachable state", "transitions: {close: closed}\n    refuse: {BAD_REQUEST: [remove]}", "transitions: {remove: removed}\n    ignore: [close]", "can't be reached"),
		Entry("event without effect", "  - {name: remove,", "  - {name: paint, description: Idle.}\n  - {name: remove,", "no answer to event paint"),
	)
})
