package streamversion

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against streams that go on at a version which may not have begun them, and against streams that
// are refused although only one version can have begun them.
func TestSoleOrigin(t *testing.T) {
	models := func(version string) Origin { return Origin{Service: "models", Version: version} }
	cases := []struct {
		name    string
		inUse   InUse
		serving []string
		sole    bool
	}{
		{"one version", InUse{[]Origin{models("v1")}, []string{"models"}}, []string{"v1"}, true},
		{"another service has other versions", InUse{[]Origin{models("v1"), {Service: "tools", Version: "v7"}}, []string{"models"}}, []string{"v1"}, true},
		{"two versions served", InUse{[]Origin{models("v1"), models("v2")}, []string{"models"}}, []string{"v1"}, false},
		{"two versions serve now", InUse{[]Origin{models("v1")}, []string{"models"}}, []string{"v1", "v2"}, false},
		{"another version serves now", InUse{[]Origin{models("v1")}, []string{"models"}}, []string{"v2"}, false},
		{"no engine is known now", InUse{[]Origin{models("v1")}, []string{"models"}}, nil, false},
		{"nothing is in the log", InUse{}, []string{"v1"}, false},
		{"no version of the service is in the log", InUse{nil, []string{"models"}}, []string{"v1"}, false},
		{"no service is in the log", InUse{[]Origin{models("v1")}, nil}, []string{"v1"}, false},
		{"routes led to two services", InUse{[]Origin{models("v1")}, []string{"drafts", "models"}}, []string{"v1"}, false},
		{"routes led to another service", InUse{[]Origin{models("v1")}, []string{"drafts"}}, []string{"v1"}, false},
	}
	for _, each := range cases {
		origin, sole := each.inUse.Sole("models", each.serving)
		NewWithT(t).Expect(sole).To(Equal(each.sole), each.name)
		if sole {
			NewWithT(t).Expect(origin).To(Equal(models("v1")), each.name)
		}
	}
}

func TestUseReporter(t *testing.T) {
	expect := NewWithT(t)
	first, second := Origin{Service: "models", Version: "v1"}, Origin{Service: "models", Version: "v2"}
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	reporter := NewUseReporter()
	due := func(seconds float64) []Origin {
		report, isDue := reporter.Due(at(seconds))
		if !isDue {
			return nil
		}
		return report.Versions
	}
	expect.Expect(due(0)).To(BeEmpty(), "nothing is known")
	reporter.Observe(InUse{Versions: []Origin{first}, Services: []string{"models"}}, at(0))
	expect.Expect(due(0)).To(ConsistOf(first))
	expect.Expect(due(1)).To(BeEmpty())
	reporter.Observe(InUse{Versions: []Origin{second}}, at(1.1))
	expect.Expect(due(1.1)).To(ConsistOf(first, second), "a new version is reported at once")
	reporter.Failed()
	expect.Expect(due(1.2)).To(ConsistOf(first, second), "a report that failed is repeated")
	expect.Expect(due(1.3)).To(BeEmpty())
	expect.Expect(due(1.2 + inUseInterval.Seconds())).To(ConsistOf(first, second))
	reporter.Observe(InUse{Versions: []Origin{second}}, at(30))
	expect.Expect(due(inUseAge.Seconds()+1)).To(ConsistOf(second), "what has not served for long is left out")
}

func TestUseWindow(t *testing.T) {
	expect := NewWithT(t)
	first, second := Origin{Service: "models", Version: "v1"}, Origin{Service: "models", Version: "v2"}
	window := NewUseWindow()
	window.Put(10, InUse{Versions: []Origin{first}, Services: []string{"models"}})
	window.Put(12, InUse{Versions: []Origin{second}, Services: []string{"models"}})
	window.Put(11, InUse{Versions: []Origin{second}})
	expect.Expect(window.Since(10).Versions).To(ConsistOf(first, second))
	expect.Expect(window.Since(11).Versions).To(ConsistOf(second))
	expect.Expect(window.Since(12).Services).To(ConsistOf("models"))
	expect.Expect(window.Since(13)).To(Equal(InUse{}))
}
