package capacity

// gatewayLines are the costs of one gateway.
func gatewayLines(model *inputModel) []line {
	const role = RoleGateway
	lines := platformLines(model, role)
	return append(lines,
		line{role, Memory, "calls under way", "one relay for each call, bounded write buffers",
			Multiply(model.get("streams"), model.get("gateway_call_bytes"), model.get("heap_factor"), model.per("gateways"))},
		line{role, ControlProcessor, "process without load", "timers, collector", Multiply(model.get("idle_gateway_us"))},
		line{role, Memory, "table of shard leaders", "learnt from replies, never replicated",
			Multiply(model.get("shards"), model.get("leader_entry_bytes"))},
		line{role, Memory, "process without load", "-",
			Multiply(model.get("process_bytes"))},
		line{role, Operations, "calls", "-",
			Multiply(model.get("requests"), model.per("gateways"))},
		line{role, DataBytes, "answers, in and out", "relayed chunk by chunk",
			Multiply(model.get("tokens"), Sum(model.get("chunk_bytes"), model.get("event_bytes")), model.per("gateways"))},
		line{role, DataProcessor, "answers", "traffic goroutines",
			Multiply(model.get("tokens"), model.get("gateway_token_us"), model.per("gateways"))},
		line{role, DataProcessor, "calls", "traffic goroutines",
			Multiply(model.get("requests"), model.get("gateway_call_us"), model.per("gateways"))},
	)
}

const (
	secondsPerDay  = 86400
	secondsPerHour = 3600
)

// platformLines are the costs that every process has: it follows the machine
// list and the configuration.
func platformLines(model *inputModel, role Role) []line {
	day := Per(Constant(secondsPerDay, "s a day"))
	return []line{
		{role, ControlBytes, "machine list", "polled; planned: only when it has changed",
			Multiply(model.get("machines"), model.get("machine_bytes"), model.get("list_share"), model.per("list_seconds"))},
		{role, ControlBytes, "machine list, headers", "polled",
			Multiply(model.get("http_bytes"), model.per("list_seconds"))},
		{role, ControlBytes, "configuration, polls", "read of the stream's end",
			Multiply(model.get("http_bytes"), model.per("configuration_seconds"))},
		{role, ControlBytes, "configuration, changes", "whole configuration in a record; planned: the changed tiers",
			Multiply(model.get("changes"), model.get("peak"), model.get("tiers_per_change"),
				model.get("tier_bytes"), model.get("log_encoding"), day)},
		{role, ControlBytes, "configuration, compared with other zones", "one process of each, both ways",
			Multiply(model.get("other_zones"), Constant(2, "ways"), Sum(model.get("http_bytes"), model.get("exchange_bytes")),
				model.per("exchange_seconds"))},
		{role, ControlProcessor, "configuration, compared with other zones", "twirp",
			Multiply(model.get("other_zones"), Constant(2, "ways"), model.get("rpc_us"), model.per("exchange_seconds"))},
		{role, ControlProcessor, "machine list", "decoded at each poll; planned: only when it has changed",
			Multiply(model.get("machines"), model.get("machine_decode_us"), model.get("list_share"), model.per("list_seconds"))},
		{role, ControlProcessor, "polls", "net/http",
			Multiply(model.get("rpc_us"), Sum(frequency(model, "list_seconds"), frequency(model, "configuration_seconds")))},
		{role, ControlProcessor, "configuration, changes", "decoded and checked whole",
			Multiply(model.get("changes"), model.get("peak"), model.get("tiers_per_change"), model.get("tier_decode_us"), day)},
		{role, Memory, "configuration", "one value, replaced whole",
			Multiply(model.get("tenants"), model.get("tiers_per_tenant"), model.get("tier_memory_bytes"), model.get("heap_factor"))},
	}
}

// frequency returns how often a second something of that interval happens.
func frequency(model *inputModel, interval string) Factor {
	found := model.get(interval)
	return Factor{Value: 1 / found.Value, Label: "a second", Basis: found.Basis}
}
