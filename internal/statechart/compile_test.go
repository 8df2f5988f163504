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
	It("accepts a complete chart", func() {
		chart, err := compile(door)
		Expect(err).NotTo(HaveOccurred())
		Expect(chart.Initial()).To(BeZero())
		Expect(chart.Final(2)).To(BeTrue())
		Expect(chart.Ignores(1, 0)).To(BeTrue())
		_, refusal := chart.Next(0, 1)
		Expect(refusal).To(MatchError("1001 BAD_REQUEST: door in state open does not accept event remove"))
	})

	DescribeTable("rejects an invalid chart",
		func(old, replacement, message string) {
			Expect(door).To(ContainSubstring(old))
			_, err := compile(strings.Replace(door, old, replacement, 1))
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("unknown key", "initial: open", "initial: open\nstart: open", "field start not found"),
		Entry("unknown initial state", "initial: open", "initial: ajar", "unknown initial state"),
		Entry("unhandled event", "    refuse: {BAD_REQUEST: [remove]}\n", "", "event remove is not handled"),
		Entry("event handled twice", "ignore: [close, remove]", "ignore: [close, remove, close]", "event close is handled twice"),
		Entry("unknown event", "ignore: [close, remove]", "ignore: [close, remove, paint]", "unknown event"),
		Entry("unknown next state", "{close: closed}", "{close: shut}", "unknown state"),
		Entry("unknown code", "BAD_REQUEST", "BAD_DAY", "unknown result code"),
		Entry("refusal with code OK", "BAD_REQUEST", "OK", "unknown result code"),
		Entry("duplicate state", "name: closed", "name: open", "open is declared twice"),
		Entry("invalid name", "name: closed", "name: Closed", "invalid name"),
		Entry("no description", "description: Closed.", "description: ''", "no description"),
		Entry("transition out of a final state", "ignore: [close, remove]", "transitions: {close: open}\n    ignore: [remove]", "has a transition"),
		Entry("no path to a final state", "    transitions: {remove: removed}\n    ignore: [close]", "    ignore: [close, remove]", "no path to a final state"),
		Entry("no final state", "final: true", "final: false", "no path to a final state"),
		Entry("unreachable state", "transitions: {close: closed}\n    refuse: {BAD_REQUEST: [remove]}", "transitions: {remove: removed}\n    ignore: [close]", "is not reachable from the initial state"),
		Entry("event without effect", "  - {name: remove,", "  - {name: paint, description: Idle.}\n  - {name: remove,", "event paint is not handled"),
	)
})
