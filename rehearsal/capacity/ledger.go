package capacity

// ledgerLines are the costs of one scheduler as a holder of accounts and
// escrows.
func ledgerLines(model *inputModel) []line {
	const role = RoleLedger
	bothEnds := Constant(2, "ends")
	perChunk := model.per("calls_per_chunk")
	tiers := []Factor{model.get("tenants"), model.get("tiers_per_tenant")}
	perTier := func(factors ...Factor) Product { return Multiply(append(tiers, factors...)...) }
	return []line{
		{role, ControlBytes, "top-ups", "escrow in chunks, cumulative totals",
			Multiply(model.get("requests"), perChunk, bothEnds,
				Sum(model.get("escrow_request_bytes"), model.get("escrow_reply_bytes"), model.get("http_bytes"), model.get("http_bytes")),
				model.per("schedulers"))},
		{role, ControlBytes, "top-ups, entries", "committed at the account's and at the asking shard",
			Multiply(model.get("requests"), perChunk, Constant(2, "shards"), model.get("followers"), bothEnds,
				Sum(model.get("escrow_entry_bytes"), model.get("append_bytes")), model.get("append_share"), model.per("schedulers"))},
		{role, ControlBytes, "top-ups, entries, headers", "planned: with appends that are due anyway",
			Multiply(model.get("requests"), perChunk, Constant(2, "shards"), model.get("followers"), bothEnds,
				model.get("intent_calls"), model.get("http_bytes"), model.per("schedulers"))},
		{role, ControlProcessor, "top-ups", "twirp; two messages, four appends",
			Multiply(model.get("requests"), perChunk, Sum(Constant(2, "messages"), Constant(4, "appends")), bothEnds,
				model.get("rpc_us"), model.per("schedulers"))},
		{role, ControlProcessor, "reservations", "four counters",
			Multiply(model.get("requests"), model.get("replicas"), model.get("reserve_us"), model.per("schedulers"))},
		{role, Memory, "accounts", "24 B a holder",
			perTier(model.get("shards"), model.get("account_holder_bytes"), model.get("replicas"), model.get("heap_factor"), model.per("schedulers"))},
		{role, Memory, "escrows", "if every tier runs in every shard",
			perTier(model.get("shards"), model.get("escrow_bytes"), model.get("replicas"), model.get("heap_factor"), model.per("schedulers"))},
	}
}
