package backend

import "time"

// durationWeight is the weight of the latest request in the moving average of durations.
const durationWeight = 0.1

// RecordDuration records how long a successful request to a service took.
func (directory *Directory) RecordDuration(service string, took time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.meanDurations == nil {
		directory.meanDurations = map[string]time.Duration{}
	}
	mean, known := directory.meanDurations[service]
	if !known {
		mean = took
	}
	directory.meanDurations[service] = mean + time.Duration(durationWeight*float64(took-mean))
}

// MeanDuration returns the moving average of request durations of a service, 0 if none was
// recorded.
func (directory *Directory) MeanDuration(service string) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.meanDurations[service]
}

// Forecast is the predicted wait of a call that would enter the queue.
type Forecast struct {
	// Ahead is the number of calls ahead of it, Running the number of requests at the engines;
	// both count all nodes if a view of their load is available.
	Ahead   int
	Running int
	// Wait is the predicted wait, Interval the mean time between completions of this node's
	// requests.
	Wait     time.Duration
	Interval time.Duration
}

// Exceeds reports whether the predicted wait is longer than maxWait.
func (forecast Forecast) Exceeds(maxWait time.Duration) bool { return forecast.Wait > maxWait }

// Predict returns the forecast for a call behind the given number of local calls. waiting counts
// the local waiting calls by priority. It returns false if no request is running or the mean
// duration is not known.
func (directory *Directory) Predict(waiter Waiter, ahead int, waiting map[int]int, now time.Time) (Forecast, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engines := directory.eligibleReachable(waiter.Service, now)
	directory.estimateRemoteLoad(waiter.Service, engines, now)
	running := 0.0
	for _, engine := range engines {
		running += engine.estimatedRunning()
	}
	total, known := directory.load.Total(now)
	if known {
		ahead += remoteAhead(remoteWaiting(total, waiter.Service, waiting), waiter.Priority)
	}
	return forecastWait(ahead, int(running+roundingTolerance), localRunning(engines), directory.meanDurations[waiter.Service])
}

// remoteAhead returns the number of calls at other nodes assumed to be ahead of a call of the
// given priority: all of more urgent priorities and half of its own, whose soft deadlines are
// not known here.
func remoteAhead(remote map[int]int, priority int) int {
	ahead := remote[priority] / 2
	for other, calls := range remote {
		if other < priority {
			ahead += calls
		}
	}
	return ahead
}

// forecastWait predicts a wait by Little's law: with running requests of the given mean
// duration, one completes every duration/running. local is the number of them sent by this node.
func forecastWait(ahead, running, local int, duration time.Duration) (Forecast, bool) {
	if running == 0 || duration == 0 {
		return Forecast{Ahead: ahead}, false
	}
	wait := duration * time.Duration(ahead+1) / time.Duration(running)
	return Forecast{Ahead: ahead, Running: running, Wait: wait, Interval: duration / time.Duration(max(local, 1))}, true
}
