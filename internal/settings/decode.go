package settings

import (
	"fmt"
	"reflect"
	"time"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// unitError is an invalid duration or size.
type unitError struct{ reason string }

func (failure *unitError) Error() string { return failure.reason }

// decodeUnit is a mapstructure hook that parses durations and sizes. It rejects
// numbers without a unit.
func decodeUnit(_ reflect.Type, target reflect.Type, value any) (any, error) {
	switch target {
	case durationType:
		return decodeDuration(value)
	case sizeType:
		return decodeSize(value)
	}
	return value, nil
}

func decodeDuration(value any) (any, error) {
	if parsed, isDuration := value.(time.Duration); isDuration {
		return parsed, nil
	}
	text, isText := value.(string)
	if !isText {
		return nil, &unitError{fmt.Sprintf("%v needs a unit: ms, s, m or h", value)}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return nil, &unitError{fmt.Sprintf("%q is not a duration such as 250ms", text)}
	}
	return parsed, nil
}

func decodeSize(value any) (any, error) {
	if parsed, isSize := value.(Size); isSize {
		return parsed, nil
	}
	text, isText := value.(string)
	if !isText {
		return nil, &unitError{fmt.Sprintf("%v needs a unit: B, KiB, MiB or GiB", value)}
	}
	parsed, err := ParseSize(text)
	if err != nil {
		return nil, &unitError{err.Error()}
	}
	return parsed, nil
}
