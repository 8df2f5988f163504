package workload

import "time"

// Namibia returns the deployment of an electricity-metering company. Kiosk
// programs arrive in bursts at the highest priority; call-centre and field
// programs are longer, and field programs spawn a sub-agent per meter; the back
// office runs long batch reconciliations at the lowest priority.
func Namibia() Deployment {
	return Deployment{
		Name:                "namibia",
		Zones:               []string{"zone-1", "zone-2", "zone-3", "zone-4"},
		ModelEngines:        11,
		ApplicationBackEnds: 9,
		ToolSlots:           32,
		ZoneDelay:           1500 * time.Microsecond,
		ClientDelay:         3 * time.Millisecond,
		Tiers: []Tier{
			{Name: "kiosk", Weight: 8, WaitBound: 20 * time.Second},
			{Name: "call-centre", Weight: 4, WaitBound: 30 * time.Second},
			{Name: "field", Weight: 2, WaitBound: 30 * time.Second},
			{Name: "back-office", Weight: 1, WaitBound: 60 * time.Second},
		},
		Kinds: []Kind{
			{
				Name: "token-dispute", Tier: "kiosk", Share: 0.45, SystemTokens: 800,
				Turns:     Distribution{Median: 3, Sigma: 0.5, TailChance: 0.03, TailStart: 6, TailExponent: 1.5, Low: 1, High: 40},
				NewPrompt: Distribution{Median: 120, Sigma: 0.5, Low: 16, High: 1000},
				Output:    Distribution{Median: 60, Sigma: 0.6, Low: 8, High: 400},
				Pause:     Distribution{Median: 80, Sigma: 0.7, TailChance: 0.02, TailStart: 500, TailExponent: 1.3, Low: 10, High: 20000},
				Burst:     Burst{MeanSize: 8, Spread: 400 * time.Millisecond},
			},
			{
				Name: "customer-talk", Tier: "call-centre", Share: 0.25, SystemTokens: 1000,
				Turns:     Distribution{Median: 5, Sigma: 0.6, TailChance: 0.05, TailStart: 10, TailExponent: 1.4, Low: 1, High: 80},
				NewPrompt: Distribution{Median: 150, Sigma: 0.6, Low: 16, High: 1500},
				Output:    Distribution{Median: 90, Sigma: 0.6, Low: 8, High: 600},
				Pause:     Distribution{Median: 300, Sigma: 0.8, TailChance: 0.05, TailStart: 2000, TailExponent: 1.3, Low: 10, High: 30000},
			},
			{
				Name: "meter-swap", Tier: "field", Share: 0.12, SystemTokens: 1200,
				Turns:     Distribution{Median: 4, Sigma: 0.5, Low: 1, High: 30},
				NewPrompt: Distribution{Median: 200, Sigma: 0.6, Low: 16, High: 2000},
				Output:    Distribution{Median: 100, Sigma: 0.6, Low: 8, High: 600},
				Pause:     Distribution{Median: 250, Sigma: 0.8, TailChance: 0.05, TailStart: 2000, TailExponent: 1.3, Low: 10, High: 30000},
				Spawn:     Spawn{Kind: "meter-check", Chance: 0.4, Count: Distribution{Median: 2, Sigma: 0.4, Low: 1, High: 6}},
			},
			{
				Name: "meter-check", Tier: "field", SystemTokens: 600,
				Turns:     Distribution{Median: 2, Sigma: 0.4, Low: 1, High: 6},
				NewPrompt: Distribution{Median: 150, Sigma: 0.5, Low: 16, High: 1000},
				Output:    Distribution{Median: 80, Sigma: 0.5, Low: 8, High: 400},
				Pause:     Distribution{Median: 100, Sigma: 0.6, Low: 10, High: 5000},
			},
			{
				Name: "reconciliation", Tier: "back-office", Share: 0.18, SystemTokens: 1500,
				Turns:     Distribution{Median: 8, Sigma: 0.7, TailChance: 0.08, TailStart: 15, TailExponent: 1.2, Low: 2, High: 120},
				NewPrompt: Distribution{Median: 250, Sigma: 0.7, Low: 16, High: 2500},
				Output:    Distribution{Median: 180, Sigma: 0.6, Low: 16, High: 1000},
				Pause:     Distribution{Median: 200, Sigma: 0.8, TailChance: 0.03, TailStart: 1000, TailExponent: 1.3, Low: 10, High: 20000},
			},
		},
	}
}
