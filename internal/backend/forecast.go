package backend

import "time"

// durationWeight is the weight of the newest request in the mean duration.
const durationWeight = 0.1

// RecordDuration notes how long a request to a service took that was answered.
func (directory *Directory) RecordDuration(service string, took time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.durations == nil {
		directory.durations = map[string]time.Duration{}
	}
	mean, known := directory.durations[service]
	if !known {
		mean = took
	}
	directory.durations[service] = mean + time.Duration(durationWeight*float64(took-mean))
}

// TypicalDuration is how long a request to a service takes at present, 0 where none was seen.
func (directory *Directory) TypicalDuration(service string) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.durations[service]
}

// Forecast is what a call that would wait has before it.
type Forecast struct {
	// Ahead is the number of calls before it, Running that of requests at the engines, over
	// all nodes where that is known.
	Ahead   int
	Running int
	// Wait is how long it would wait, Interval the time between two ends of this node's requests.
	Wait     time.Duration
	Interval time.Duration
}

// Exceeds tells whether the predicted wait is longer than a call's patience.
func (forecast Forecast) Exceeds(patience time.Duration) bool { return forecast.Wait > patience }

// Predict tells what a call would find behind ahead calls of those that wait here, which
// are counted by rank; it is false where nothing is known to predict from.
func (directory *Directory) Predict(waiter Waiter, ahead int, here map[int]int, now time.Time) (Forecast, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engines := directory.usableNow(waiter.Service, now)
	directory.estimateOthers(waiter.Service, engines, now)
	under := 0.0
	for _, engine := range engines {
		under += engine.under()
	}
	total, known := directory.load.Total(now)
	if known {
		ahead += aheadElsewhere(waitingElsewhere(total, waiter.Service, here), waiter.Priority)
	}
	return predict(ahead, int(under+roundingSlack), runningHere(engines), directory.durations[waiter.Service])
}

// aheadElsewhere counts the calls at other nodes that come before one of a rank: all of more
// urgent ranks, and half of its own, for how near their aims are is not known here.
func aheadElsewhere(elsewhere map[int]int, rank int) int {
	ahead := elsewhere[rank] / 2
	for other, calls := range elsewhere {
		if other < rank {
			ahead += calls
		}
	}
	return ahead
}

// predict works out a wait by Little's law: of some requests under way that take a time
// each, one ends each time/requests; here of them are this node's. It answers the load of a
// queue longer than engines can serve in the callers' patience.
func predict(ahead, running, here int, duration time.Duration) (Forecast, bool) {
	if running == 0 || duration == 0 {
		return Forecast{Ahead: ahead}, false
	}
	wait := duration * time.Duration(ahead+1) / time.Duration(running)
	return Forecast{Ahead: ahead, Running: running, Wait: wait, Interval: duration / time.Duration(max(here, 1))}, true
}
