package capacity

// leaderLines are the costs of one scheduler as a leader of shards.
func leaderLines(model *inputModel) []line {
	const role = RoleLeader
	bothEnds := Constant(2, "ends")
	lines := []line{
		{role, ControlBytes, "intents", "an entry before dispatch; planned: only for calls that are not repeatable",
			Multiply(model.get("requests"), model.get("intent_share"), model.get("followers"), bothEnds,
				Sum(model.get("intent_bytes"), model.get("append_bytes")), model.get("append_share"), model.per("schedulers"))},
		{role, ControlBytes, "intents, headers", "planned: with the accepted call where a slot is free",
			Multiply(model.get("requests"), model.get("intent_share"), model.get("followers"), bothEnds,
				model.get("intent_calls"), model.get("http_bytes"), model.per("schedulers"))},
		{role, ControlProcessor, "intents", "twirp",
			Multiply(model.get("requests"), model.get("intent_share"), model.get("followers"), bothEnds,
				model.get("intent_calls"), model.get("rpc_us"), model.per("schedulers"))},
		{role, ControlProcessor, "control loop", "steps of a call at leader, followers and keeper",
			Multiply(model.get("requests"), model.get("control_call_us"), model.per("schedulers"))},
		{role, Memory, "calls under way", "control loop",
			Multiply(model.get("streams"), model.get("live_call_bytes"), model.get("heap_factor"), model.per("schedulers"))},
		{role, Operations, "calls", "-", Multiply(model.get("requests"), model.per("schedulers"))},
		{role, DataBytes, "prompts to engines", "whole history in each",
			Multiply(model.get("requests"), model.get("history_tokens"), model.get("history_share"),
				model.get("token_bytes"), model.per("schedulers"))},
		{role, DataBytes, "answers, in and out", "relayed chunk by chunk",
			Multiply(model.get("tokens"), Sum(model.get("event_bytes"), model.get("chunk_bytes")), model.per("schedulers"))},
		{role, DataProcessor, "calls", "traffic goroutines: prompts, turns, archive",
			Multiply(model.get("requests"), model.get("scheduler_call_us"), model.per("schedulers"))},
		{role, DataProcessor, "answers", "traffic goroutines",
			Multiply(model.get("tokens"), model.get("scheduler_token_us"), model.per("schedulers"))},
	}
	return append(lines, keeperTalk(model, role, "schedulers")...)
}

// keeperTalk are the messages between leaders and keepers, at the end whose
// number of processes is given.
func keeperTalk(model *inputModel, role Role, processes string) []line {
	messages := Sum(model.get("offer_bytes"), model.get("grant_bytes"), model.get("first_token_bytes"), model.get("return_bytes"))
	return []line{
		{role, ControlBytes, "offers, grants, returns", "batched by step; planned: most programs use a pool kept in their leader's process",
			Multiply(model.get("requests"), model.get("remote_share"), messages, model.get("message_share"), model.per(processes))},
		{role, ControlBytes, "offers, grants, returns, headers", "planned: the grant answers the offer's call, returns wait for it",
			Multiply(model.get("requests"), model.get("remote_share"), model.get("keeper_calls"), model.get("http_bytes"), model.per(processes))},
		{role, ControlProcessor, "offers, grants, returns", "twirp",
			Multiply(model.get("requests"), model.get("remote_share"), model.get("keeper_calls"), model.get("rpc_us"), model.per(processes))},
		{role, ControlBytes, "grants held", "a digest at intervals, the list where it differs",
			Multiply(model.get("streams"), model.get("remote_share"), model.get("held_bytes"), model.get("held_share"),
				model.per("held_seconds"), model.per(processes))},
		{role, ControlBytes, "live programs", "a digest at intervals, the list where it differs",
			Multiply(model.get("programs"), model.get("remote_share"), model.get("live_bytes"), model.get("live_share"),
				model.per("live_seconds"), model.per(processes))},
	}
}
