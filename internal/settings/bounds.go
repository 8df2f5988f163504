package settings

import (
	"cmp"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"
)

// compare returns how a field's value stands to the bound in its tag: below,
// at or above it. The tags are part of the program, so a bound that can't be
// read is a fault of the program and panics.
func compare(field validator.FieldLevel) int {
	value := field.Field()
	bound := field.Param()
	switch value.Type() {
	case durationType:
		return cmp.Compare(time.Duration(value.Int()), must(time.ParseDuration(bound)))
	case sizeType:
		return cmp.Compare(Size(value.Int()), must(ParseSize(bound)))
	}
	limit := must(strconv.ParseFloat(bound, 64))
	switch {
	case value.CanInt():
		return cmp.Compare(float64(value.Int()), limit)
	case value.CanUint():
		return cmp.Compare(float64(value.Uint()), limit)
	}
	return cmp.Compare(value.Float(), limit)
}

func must[Value any](value Value, err error) Value {
	if err != nil {
		panic(err)
	}
	return value
}
