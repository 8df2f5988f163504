package ledger

import "math/bits"

// Micros is an amount of money in millionths of the operator's currency unit.
type Micros uint64

// maxMicros is the value at which arithmetic saturates.
const maxMicros = ^Micros(0)

// priceUnitTokens is the number of tokens that a Price applies to.
const priceUnitTokens = 1000

// Price is the price of 1000 prompt or output tokens.
type Price struct {
	Prompt Micros
	Output Micros
}

// Cost returns the cost of a call, rounded up to a whole micro. With upper bounds
// for both token counts, the result is the worst-case cost to reserve. Overflow
// saturates at the maximum, so that it cannot yield a small cost.
func (price Price) Cost(promptTokens, outputTokens uint32) Micros {
	prompt := multiplySaturating(price.Prompt, promptTokens)
	output := multiplySaturating(price.Output, outputTokens)
	sum := addSaturating(prompt, output)
	if sum == maxMicros {
		return maxMicros
	}
	cost := sum / priceUnitTokens
	if sum%priceUnitTokens != 0 {
		cost++
	}
	return cost
}

func multiplySaturating(price Micros, tokens uint32) Micros {
	high, low := bits.Mul64(uint64(price), uint64(tokens))
	if high != 0 {
		return maxMicros
	}
	return Micros(low)
}

func addSaturating(left, right Micros) Micros {
	sum, carry := bits.Add64(uint64(left), uint64(right), 0)
	if carry != 0 {
		return maxMicros
	}
	return Micros(sum)
}

// subtractSaturating returns left - right, or 0 if right is greater.
func subtractSaturating(left, right Micros) Micros {
	if right > left {
		return 0
	}
	return left - right
}
