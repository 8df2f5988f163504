package cache

// FixedPolicy takes the same action at every pause.
type FixedPolicy struct{ Action Action }

// AtPause returns policy.Action without a time limit.
func (policy FixedPolicy) AtPause(Pause) Decision { return Decision{Action: policy.Action} }
