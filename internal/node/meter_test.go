package node

import (
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
)

var _ = Describe("Turn metrics", func() {
	It("tell how turns end by the size of their program's budget", func() {
		meter := newMeter()
		meter.TurnFinished("chat", &forward.TurnRequest{Budget: 900, MaxTokens: 288}, resultcode.OK)
		meter.TurnFinished("chat", &forward.TurnRequest{Budget: 8300, MaxTokens: 288}, resultcode.ProgramCapReached)
		meter.TurnFinished("chat", &forward.TurnRequest{Budget: 8300, MaxTokens: 288}, resultcode.ProgramCapReached)
		meter.TurnFinished("chat", &forward.TurnRequest{Budget: 1 << 40, MaxTokens: 0}, resultcode.OK)
		registry := prometheus.NewRegistry()
		registry.MustRegister(meter.turns)
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		counts := map[string]float64{}
		for _, metric := range families[0].Metric {
			labels := map[string]string{}
			for _, label := range metric.Label {
				labels[label.GetName()] = label.GetValue()
			}
			counts[labels["route"]+" "+labels["budget_turns"]+" "+labels["code"]] = metric.Counter.GetValue()
		}
		Expect(counts).To(Equal(map[string]float64{"chat 4 0": 1, "chat 32 2003": 2, "chat 64 0": 1}))
	})
})
