package routing_test

import (
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func onlyService(service string) []routing.Share {
	return []routing.Share{{Service: service, Weight: 1}}
}

var _ = Describe("Configuration", func() {
	configuration := routing.New(3, []*routing.Route{
		{Name: "short", Host: "A.example", Prefix: "/x/", Shares: onlyService("s")},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: onlyService("s")},
	}, nil, routing.Limits{})

	It("selects the longest prefix of the host", func() {
		Expect(configuration.Match("a.example", "/x/y/z").Name).To(Equal("long"))
		Expect(configuration.Match("a.EXAMPLE:80", "/x/z").Name).To(Equal("short"))
		Expect(configuration.Match("a.example", "/x")).To(BeNil())
		Expect(configuration.Match("b.example", "/x/y/")).To(BeNil())
	})

	It("never returns to an older version", func() {
		var active routing.ActiveConfiguration
		Expect(active.Apply(configuration)).To(BeTrue())
		Expect(active.Apply(routing.New(2, nil, nil, routing.Limits{}))).To(BeFalse())
		Expect(active.Apply(routing.New(3, nil, nil, routing.Limits{}))).To(BeFalse())
		Expect(active.Load()).To(BeIdenticalTo(configuration))
	})
})

var _ = Describe("Route", func() {
	It("keeps to its weights over any run of requests", func() {
		route := &routing.Route{Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		routing.New(1, []*routing.Route{route}, nil, routing.Limits{})
		const run = 100
		for range 20 {
			count := 0
			for range run {
				if route.PickService() == "b" {
					count++
				}
			}
			Expect(count).To(BeNumerically("~", run/10, 2))
		}
	})
})
