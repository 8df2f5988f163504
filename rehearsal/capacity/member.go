package capacity

// memberLines are the costs of one scheduler as a member of groups.
func memberLines(model *inputModel) []line {
	const role = RoleMember
	bothEnds := Constant(2, "ends")
	return []line{
		{role, ControlBytes, "heartbeats, by pair of processes", "batched; planned: only where no append went",
			Multiply(model.get("peers"), model.get("heartbeat_calls"), model.get("heartbeat_share"),
				Sum(model.get("http_bytes"), model.get("heartbeat_bytes")), model.per("heartbeat_seconds"))},
		{role, ControlBytes, "heartbeats, by shard", "shards whose commit index moved",
			Multiply(model.get("shards"), model.get("followers"), bothEnds, model.get("shard_heartbeat_bytes"),
				model.get("heartbeat_share"), model.per("schedulers"), model.per("heartbeat_seconds"))},
		{role, ControlProcessor, "heartbeats", "twirp",
			Multiply(model.get("peers"), model.get("heartbeat_calls"), model.get("heartbeat_share"),
				model.get("rpc_us"), model.per("heartbeat_seconds"))},
		{role, ControlProcessor, "replicas without load", "heartbeats' content",
			Multiply(model.get("shards"), model.get("replicas"), model.get("replica_us"), model.per("schedulers"))},
		{role, Memory, "program records", "replicated state",
			Multiply(model.get("programs"), model.get("replicas"), model.get("program_bytes"), model.get("heap_factor"), model.per("schedulers"))},
		{role, Memory, "records of finished calls", "replicated state; planned: old ones are read from the archive",
			Multiply(model.get("programs"), model.get("calls_kept"), model.get("replicas"),
				model.get("call_record_bytes"), model.get("heap_factor"), model.per("schedulers"))},
		{role, Memory, "histories", "state, not control; planned: a cache at the leader, the archive behind it",
			Multiply(model.get("programs"), model.get("history_tokens"), model.get("history_share"),
				model.get("token_bytes"), model.get("history_copies"), model.get("heap_factor"), model.per("compression"), model.per("schedulers"))},
		{role, Memory, "entries kept for members that lag", "the last archived ones",
			Multiply(model.get("shards"), model.get("replicas"), model.get("kept_entries"), entryBytes(model),
				model.get("heap_factor"), model.per("schedulers"))},
		{role, OutageMemory, "turns of an hour without the log", "turns counted; the setting archive_backlog bounds them, then ARCHIVE_BACKLOG_FULL",
			Multiply(model.get("requests"), Constant(secondsPerHour, "s"), model.get("history_tokens"), model.per("turns"),
				model.get("token_bytes"), model.get("replicas"), model.get("heap_factor"), model.per("compression"), model.per("schedulers"))},
		{role, DataBytes, "turns replicated, in and out", "appends of accepted and finished calls",
			Multiply(model.get("requests"), model.get("followers"), bothEnds,
				Sum(turnBytes(model), model.get("append_bytes")), model.per("schedulers"))},
		{role, DataBytes, "snapshots for restarted processes", "to a learner, in chunks",
			Multiply(model.get("restarts"), model.get("programs"), model.get("replicas"), model.get("snapshot_tokens"),
				model.get("token_bytes"), Constant(2, "ends"), model.per("schedulers"), model.per("schedulers"),
				Per(Constant(secondsPerDay, "s a day")))},
	}
}

// turnBytes is what one turn adds to its program's history.
func turnBytes(model *inputModel) Factor {
	tokens := model.get("history_tokens").Value / model.get("turns").Value
	bytes := model.get("token_bytes")
	return Factor{Value: tokens * bytes.Value, Label: "B a turn", Basis: bytes.Basis}
}

// entriesPerCall is how many entries of its shard's log a call takes.
const entriesPerCall = 3

// entryBytes is the mean entry of a shard's log.
func entryBytes(model *inputModel) Factor {
	turn := turnBytes(model)
	overhead := model.get("entry_overhead_bytes")
	return Factor{Value: (turn.Value + overhead.Value) / entriesPerCall, Label: "B an entry", Basis: max(turn.Basis, overhead.Basis)}
}
