package slope

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Measurement is one measured slope.
type Measurement struct {
	// Name is the slope's name in slopes.yaml.
	Name string
	// Sizes tells at what sizes the values were taken, empty for one value.
	Sizes  string
	Values []float64
	Unit   string
}

// Measure takes every measurement.
func Measure() ([]Measurement, error) {
	measurements, err := Sizes()
	if err != nil {
		return nil, err
	}
	for _, measure := range []func() ([]Measurement, error){
		measureTwirp, measureMemory, measureDecoding, measureLedger,
	} {
		more, err := measure()
		if err != nil {
			return nil, eris.Wrap(err, "measure slopes")
		}
		measurements = append(measurements, more...)
	}
	return measurements, nil
}

// heapBytes returns the live heap. Pools and finalizers keep garbage over one
// collection, so it collects twice.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// processorTime returns what the process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage can't fail for the calling process and a valid pointer.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microsecondsEach returns the elapsed time of one of count runs.
func microsecondsEach(count int, run func() error) (float64, error) {
	started := time.Now()
	for range count {
		if err := run(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(started).Nanoseconds()) / float64(count) / float64(time.Microsecond), nil
}
