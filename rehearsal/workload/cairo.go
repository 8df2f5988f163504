package workload

import "time"

// Cairo returns the deployment of a court-reporting consortium. Minutes, at the
// highest priority, are drafted over a long, growing history during a session;
// transcripts are cleaned at the lowest priority by one sub-agent per speaker.
func Cairo() Deployment {
	return Deployment{
		Name:                "cairo",
		Zones:               []string{"zone-1", "zone-2", "zone-3"},
		ModelEngines:        11,
		ApplicationBackEnds: 8,
		ToolSlots:           32,
		ZoneDelay:           500 * time.Microsecond,
		ClientDelay:         time.Millisecond,
		Tiers: []Tier{
			{Name: "minutes", Weight: 8, WaitBound: 20 * time.Second},
			{Name: "newsroom", Weight: 3, WaitBound: 30 * time.Second},
			{Name: "cleaning", Weight: 1, WaitBound: 60 * time.Second},
		},
		Kinds: []Kind{
			{
				Name: "session-minutes", Tier: "minutes", Share: 0.35, SystemTokens: 1500,
				Turns:     Distribution{Median: 10, Sigma: 0.6, TailChance: 0.08, TailStart: 20, TailExponent: 1.3, Low: 3, High: 120},
				NewPrompt: Distribution{Median: 350, Sigma: 0.5, Low: 50, High: 2000},
				Output:    Distribution{Median: 120, Sigma: 0.5, Low: 16, High: 600},
				Pause:     Distribution{Median: 800, Sigma: 0.7, TailChance: 0.04, TailStart: 4000, TailExponent: 1.3, Low: 50, High: 40000},
			},
			{
				Name: "press-query", Tier: "newsroom", Share: 0.35, SystemTokens: 900,
				Turns:     Distribution{Median: 3, Sigma: 0.6, TailChance: 0.03, TailStart: 8, TailExponent: 1.5, Low: 1, High: 40},
				NewPrompt: Distribution{Median: 400, Sigma: 0.6, Low: 50, High: 3000},
				Output:    Distribution{Median: 150, Sigma: 0.6, Low: 16, High: 800},
				Pause:     Distribution{Median: 300, Sigma: 0.8, TailChance: 0.04, TailStart: 2000, TailExponent: 1.3, Low: 20, High: 30000},
			},
			{
				Name: "transcript", Tier: "cleaning", Share: 0.30, SystemTokens: 1000,
				Turns:     Distribution{Median: 3, Sigma: 0.5, Low: 1, High: 12},
				NewPrompt: Distribution{Median: 300, Sigma: 0.5, Low: 50, High: 1500},
				Output:    Distribution{Median: 150, Sigma: 0.5, Low: 16, High: 600},
				Pause:     Distribution{Median: 150, Sigma: 0.7, Low: 20, High: 5000},
				Spawn:     Spawn{Kind: "speaker", Chance: 0.6, Count: Distribution{Median: 4, Sigma: 0.4, Low: 2, High: 10}},
			},
			{
				Name: "speaker", Tier: "cleaning", SystemTokens: 700,
				Turns:     Distribution{Median: 2, Sigma: 0.5, Low: 1, High: 8},
				NewPrompt: Distribution{Median: 800, Sigma: 0.5, Low: 100, High: 3000},
				Output:    Distribution{Median: 400, Sigma: 0.5, Low: 50, High: 1500},
				Pause:     Distribution{Median: 60, Sigma: 0.6, Low: 10, High: 2000},
			},
		},
	}
}
