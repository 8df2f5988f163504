package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the gateway's Prometheus metrics.
type metrics struct {
	requests        *prometheus.CounterVec
	firstToken      prometheus.Histogram
	betweenTokens   prometheus.Histogram
	inFlight        prometheus.Gauge
	retries         prometheus.Counter
	furtherAttempts prometheus.Counter
}

// Exponential histogram buckets, from 0.5 ms to 65 s.
const (
	firstBucketSeconds = 0.0005
	bucketFactor       = 2
	bucketCount        = 18
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount)
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_gateway_requests_total",
			Help: "Callers' requests by route and result code name.",
		}, []string{"route", "code"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "magpielug_gateway_first_token_seconds",
			Help:    "From a call's arrival to its first chunk.",
			Buckets: buckets,
		}),
		betweenTokens: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "magpielug_gateway_between_tokens_seconds",
			Help:    "Between two chunks of one call.",
			Buckets: buckets,
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "magpielug_gateway_in_flight",
			Help: "Requests being served.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magpielug_gateway_retries_total",
			Help: "Waits before a shard's candidates were asked once more.",
		}),
		furtherAttempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magpielug_gateway_further_attempts_total",
			Help: "Schedulers asked for a call after the first: others than its leader, unreachable ones, streams that ended early.",
		}),
	}
	registerer.MustRegister(created.requests, created.firstToken, created.betweenTokens,
		created.inFlight, created.retries, created.furtherAttempts)
	return created
}
