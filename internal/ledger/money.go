package ledger

import "math/bits"

// Micros is an amount of money, in millionths of the operator's currency unit.
type Micros uint64

// maximumMicros stands for an amount too large to count. No escrow covers it.
const maximumMicros = ^Micros(0)

// tokensPerPrice is the number of tokens that a price is given for.
const tokensPerPrice = 1000

// Price is what a tier pays for 1000 tokens.
type Price struct {
	Prompt Micros
	Output Micros
}

// Cost returns the price of a call, rounded up to a whole micro unit. With a
// bound on the prompt and the most tokens the call may generate it is the worst
// case to reserve. An amount over the range becomes the greatest one, so that
// an absurd price can never become a small cost.
func (price Price) Cost(promptTokens, outputTokens uint32) Micros {
	prompt := multiply(price.Prompt, promptTokens)
	output := multiply(price.Output, outputTokens)
	sum := add(prompt, output)
	if sum == maximumMicros {
		return maximumMicros
	}
	cost := sum / tokensPerPrice
	if sum%tokensPerPrice != 0 {
		cost++
	}
	return cost
}

func multiply(price Micros, tokens uint32) Micros {
	high, low := bits.Mul64(uint64(price), uint64(tokens))
	if high != 0 {
		return maximumMicros
	}
	return Micros(low)
}

func add(left, right Micros) Micros {
	sum, carry := bits.Add64(uint64(left), uint64(right), 0)
	if carry != 0 {
		return maximumMicros
	}
	return Micros(sum)
}

// subtract returns left - right, or 0 where right is the greater.
func subtract(left, right Micros) Micros {
	if right > left {
		return 0
	}
	return left - right
}
