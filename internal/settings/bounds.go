package settings

import (
	"cmp"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"
)

// compareToBound returns -1, 0 or 1 for a field's value below, at or above the
// bound in its tag. It panics if the bound can't be parsed.
func compareToBound(field validator.FieldLevel) int {
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
