package capacity

import (
	"math"
	"strconv"
	"strings"
)

// Basis tells where a number comes from.
type Basis int

// Bases, the weakest last: a product is as good as its weakest factor.
const (
	// Given is a figure of the target.
	Given Basis = iota
	// Chosen is a setting of a design.
	Chosen
	// Measured is a slope with the command that measured it.
	Measured
	// Estimated is a slope or a figure that nobody has measured.
	Estimated
)

// Factor is one number of a product, with the words that name it.
type Factor struct {
	Value float64
	Label string
	Basis Basis
	// divides is true where the product is divided by the value.
	divides bool
	// parts are the terms of a sum in parentheses.
	parts []Factor
}

// Per returns the factor as a divisor.
func Per(factor Factor) Factor {
	factor.divides = true
	return factor
}

// Sum returns the sum of the terms as one factor.
func Sum(terms ...Factor) Factor {
	sum := Factor{parts: terms}
	for _, term := range terms {
		sum.Value += term.Value
		sum.Basis = max(sum.Basis, term.Basis)
	}
	return sum
}

// Constant is a number that needs no source, such as seconds in a day.
func Constant(value float64, label string) Factor {
	return Factor{Value: value, Label: label, Basis: Given}
}

// Product is a value with the arithmetic that gave it.
type Product struct {
	Value   float64
	Basis   Basis
	factors []Factor
}

// Multiply returns the product of the factors.
func Multiply(factors ...Factor) Product {
	product := Product{Value: 1, factors: factors}
	for _, factor := range factors {
		if factor.divides {
			product.Value /= factor.Value
		} else {
			product.Value *= factor.Value
		}
		product.Basis = max(product.Basis, factor.Basis)
	}
	return product
}

// Text returns the arithmetic written out, for example
// "3,400 calls/s × 96 B offer [m] ÷ 260 schedulers".
func (product Product) Text() string {
	var text strings.Builder
	for index, factor := range product.factors {
		if index > 0 {
			text.WriteString(operator(factor.divides))
		}
		text.WriteString(factor.text())
	}
	return text.String()
}

func operator(divides bool) string {
	if divides {
		return " ÷ "
	}
	return " × "
}

func (factor Factor) text() string {
	if factor.parts != nil {
		var terms []string
		for _, part := range factor.parts {
			terms = append(terms, part.text())
		}
		return "(" + strings.Join(terms, " + ") + ")"
	}
	text := FormatNumber(factor.Value) + " " + factor.Label
	switch factor.Basis {
	case Measured:
		return text + " [m]"
	case Estimated:
		return text + " [e]"
	default:
		return text
	}
}

const (
	// significantDigits is how exact numbers under a thousand are printed.
	significantDigits = 3
	// groupSize is the number of digits between separators.
	groupSize = 3
	// wholeFrom is the number from which no fraction is printed.
	wholeFrom = 1000
)

// FormatNumber prints three significant digits of a small number, and a large
// one whole with separators.
func FormatNumber(value float64) string {
	if math.Abs(value) < wholeFrom {
		rounded, _ := strconv.ParseFloat(strconv.FormatFloat(value, 'g', significantDigits, 64), 64)
		return strconv.FormatFloat(rounded, 'f', -1, 64)
	}
	digits := strconv.FormatFloat(math.Round(value), 'f', 0, 64)
	var grouped strings.Builder
	for index, digit := range digits {
		if index > 0 && (len(digits)-index)%groupSize == 0 {
			grouped.WriteByte(',')
		}
		grouped.WriteRune(digit)
	}
	return grouped.String()
}
