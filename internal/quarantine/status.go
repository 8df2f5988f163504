package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// StatusPath is the path under a node's metrics address that serves its Status as JSON.
const StatusPath = "/quarantine"

// maxStatusRequests bounds the requests of a Status, those with most ended engines first.
const maxStatusRequests = 200

// Status is what a node holds against requests, for operators.
type Status struct {
	// Requests are those under which an engine may have ended; Others is the number of those not
	// listed.
	Requests []RequestStatus `json:"requests"`
	Others   int             `json:"others"`
}

// RequestStatus is what is held against one request.
type RequestStatus struct {
	// Content is the fingerprint as in logs. Shared is true if it is that of what several programs send.
	Content string `json:"content"`
	Shared  bool   `json:"shared,omitempty"`
	// EnginesEnded is the number of engines that count as ended under the request.
	EnginesEnded int `json:"engines_ended"`
	// QuarantinedForMs is for how long the request is not sent, 0 if it is.
	QuarantinedForMs int64        `json:"quarantined_for_ms"`
	Losses           []LossStatus `json:"losses"`
}

// LossStatus is one loss.
type LossStatus struct {
	Engine      string `json:"engine"`
	Incarnation int64  `json:"incarnation"`
	Cause       string `json:"cause"`
	AgeMs       int64  `json:"age_ms"`
	Refuted     bool   `json:"refuted"`
}

// Status returns what is held against requests.
func (tracker *Tracker) Status(now time.Time) Status {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire(now)
	status := Status{Requests: make([]RequestStatus, 0, len(tracker.requests))}
	for fingerprint, held := range tracker.requests {
		status.Requests = append(status.Requests, tracker.requestStatus(fingerprint, held, now))
	}
	for content := range tracker.byContent {
		if ends := tracker.countedContentEnds(content, now); len(ends) >= suspectContentEnds {
			status.Requests = append(status.Requests, tracker.contentStatus(content, len(ends), now))
		}
	}
	slices.SortFunc(status.Requests, func(left, right RequestStatus) int {
		return cmp.Or(right.EnginesEnded-left.EnginesEnded, cmp.Compare(left.Content, right.Content))
	})
	if len(status.Requests) > maxStatusRequests {
		status.Others = len(status.Requests) - maxStatusRequests
		status.Requests = status.Requests[:maxStatusRequests]
	}
	return status
}

// requestStatus returns the status of one request. The caller holds the mutex.
func (tracker *Tracker) requestStatus(fingerprint Fingerprint, held *request, now time.Time) RequestStatus {
	status := RequestStatus{
		Content:          fingerprint.String(),
		EnginesEnded:     tracker.count(fingerprint, now),
		QuarantinedForMs: tracker.requestQuarantine(fingerprint, now).Milliseconds(),
	}
	status.Losses = lossStatuses(held.losses, now)
	return status
}

// contentStatus returns the status of a content over all programs. The caller holds the mutex.
func (tracker *Tracker) contentStatus(content Fingerprint, ended int, now time.Time) RequestStatus {
	return RequestStatus{
		Content:          content.String(),
		Shared:           true,
		EnginesEnded:     ended,
		QuarantinedForMs: tracker.contentQuarantine(content, now).Milliseconds(),
		Losses:           lossStatuses(tracker.byContent[content], now),
	}
}

func lossStatuses(losses []*Loss, now time.Time) []LossStatus {
	var statuses []LossStatus
	for _, loss := range losses {
		statuses = append(statuses, LossStatus{Engine: loss.Engine.ID, Incarnation: loss.Engine.Incarnation,
			Cause: loss.Cause.String(), AgeMs: now.Sub(loss.At).Milliseconds(), Refuted: loss.Refuted})
	}
	return statuses
}

// Sizes returns the number of requests under which an engine may have ended, and of those that are
// quarantined.
func (tracker *Tracker) Sizes(now time.Time) (suspects, quarantined int) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for fingerprint := range tracker.requests {
		if tracker.count(fingerprint, now) > 0 {
			suspects++
		}
		if tracker.requestQuarantine(fingerprint, now) > 0 {
			quarantined++
		}
	}
	for content := range tracker.byContent {
		if tracker.contentQuarantine(content, now) > 0 {
			quarantined++
		}
	}
	return suspects, quarantined
}

// EnginesLost returns the IDs of the engines that count as ended under a request, or under a content.
func (tracker *Tracker) EnginesLost(fingerprint Fingerprint, now time.Time) []string {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	losses := tracker.byContent[fingerprint]
	if held := tracker.requests[fingerprint]; held != nil && !held.expired(now) {
		losses = held.losses
	}
	var engines []string
	for _, loss := range losses {
		if loss.Counts() && !slices.Contains(engines, loss.Engine.ID) {
			engines = append(engines, loss.Engine.ID)
		}
	}
	return engines
}
