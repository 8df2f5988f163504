package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes. In settings it has a unit: "512B", "64KiB", "8MiB"
// or "1GiB".
type Size int64

// Units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// sizeUnits has the longer suffixes first, since "KiB" also ends in "B".
var sizeUnits = []struct {
	suffix string
	unit   Size
}{
	{"KiB", KiB},
	{"MiB", MiB},
	{"GiB", GiB},
	{"B", Byte},
}

// ParseSize parses a non-negative integer followed by a unit.
func ParseSize(text string) (Size, error) {
	for _, known := range sizeUnits {
		digits, found := strings.CutSuffix(text, known.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || number < 0 || number > math.MaxInt64/int64(known.unit) {
			return 0, fmt.Errorf("%q is not a size such as 64KiB", text)
		}
		return Size(number) * known.unit, nil
	}
	return 0, fmt.Errorf("%q needs a unit: B, KiB, MiB or GiB", text)
}

// String returns the size in the largest unit that divides it.
func (size Size) String() string {
	switch {
	case size == 0:
		return "0B"
	case size%GiB == 0:
		return fmt.Sprintf("%dGiB", size/GiB)
	case size%MiB == 0:
		return fmt.Sprintf("%dMiB", size/MiB)
	case size%KiB == 0:
		return fmt.Sprintf("%dKiB", size/KiB)
	}
	return fmt.Sprintf("%dB", int64(size))
}

// Bytes returns the size as an int.
func (size Size) Bytes() int { return int(size) }
