package metrics

import (
	"errors"
	"net/http"
	"net/http/httptest"

	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Mount", func() {
	It("serves metrics, health and readiness", func() {
		var readinessError error
		mux := http.NewServeMux()
		Mount(mux, NewRegistry("v1", "gateway"), func() error { return readinessError })
		get := func(path string) *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodGet, path, nil)
			Expect(IsMonitoringRequest(request)).To(BeTrue())
			mux.ServeHTTP(recorder, request)
			return recorder
		}
		Expect(get(MetricsPath).Body.String()).To(ContainSubstring(`magpielug_build_info{role="gateway",version="v1"} 1`))
		Expect(get(ReadyPath).Code).To(Equal(http.StatusOK))
		readinessError = resultcode.New(resultcode.ConfigurationStale, "stale")
		Expect(get(ReadyPath).Code).To(Equal(http.StatusServiceUnavailable))
		Expect(get(ReadyPath).Body.String()).To(ContainSubstring(`"code":2005`))
		readinessError = errors.New("no shard map yet")
		Expect(get(ReadyPath).Body.String()).To(ContainSubstring("no shard map yet"))
		Expect(get(HealthPath).Code).To(Equal(http.StatusOK))
	})
})
