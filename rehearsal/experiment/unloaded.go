package experiment

import (
	"time"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

// unloadedLatency returns the latency of a program that runs alone on the
// deployment and finds its history cached.
func unloadedLatency(program *workload.Program, config runConfig) time.Duration {
	total := time.Duration(0)
	for index, turn := range program.Turns {
		total += 2 * config.Deployment.ClientDelay
		total += prefillTime(turn.NewPrompt.Tokens, config.Engine)
		total += time.Duration(turn.Output.Tokens) * (config.Engine.StepBase + config.Engine.StepPerSequence)
		pause := turn.Pause
		if index == len(program.Turns)-1 {
			pause = 0
		}
		for _, subAgent := range turn.SubAgents {
			pause = max(pause, unloadedLatency(subAgent, config))
		}
		total += pause
	}
	return total
}

func prefillTime(tokens int, engine Engine) time.Duration {
	steps := (tokens + engine.PrefillTokensPerStep - 1) / engine.PrefillTokensPerStep
	return time.Duration(steps)*engine.StepBase + time.Duration(tokens)*engine.StepPerPrefillToken
}
