package experiment

import "time"

// pausePredictor predicts a kind's next tool pause as the mean of those seen.
type pausePredictor struct {
	byKind map[string]*pauseMean
}

type pauseMean struct {
	count int
	total time.Duration
}

func newPausePredictor() *pausePredictor {
	return &pausePredictor{byKind: map[string]*pauseMean{}}
}

// predict returns 0 for a kind that has not paused yet.
func (predictor *pausePredictor) predict(kind string) time.Duration {
	seen, found := predictor.byKind[kind]
	if !found {
		return 0
	}
	return seen.total / time.Duration(seen.count)
}

func (predictor *pausePredictor) observe(kind string, pause time.Duration) {
	seen, found := predictor.byKind[kind]
	if !found {
		seen = &pauseMean{}
		predictor.byKind[kind] = seen
	}
	seen.count++
	seen.total += pause
}
