package capacity

// commonLines are the costs of any scheduler.
func commonLines(model *inputModel) []line {
	lines := platformLines(model, RoleCommon)
	return append(lines,
		line{RoleCommon, Memory, "process without load", "-", Multiply(model.get("process_bytes"))},
		line{RoleCommon, ControlProcessor, "process without load", "timers, collector", Multiply(model.get("idle_scheduler_us"))},
		line{RoleCommon, ControlProcessor, "ticks of the control loop", "planned: a timer at the next due time",
			Multiply(model.get("ticks"), model.get("tick_us"))})
}

// logLines are the load of all processes on the platform's log.
func logLines(model *inputModel) []line {
	const role = RoleLog
	processes := Sum(model.get("gateways"), model.get("schedulers"))
	return []line{
		{role, Operations, "appends of committed entries", "one under way a shard, all entries since in the next",
			Multiply(model.get("shards"), model.per("archive_seconds"))},
		{role, Operations, "reads of the configuration's end", "polled",
			Multiply(processes, model.per("configuration_seconds"))},
		{role, Operations, "reads of the machine list", "polled",
			Multiply(processes, model.per("list_seconds"))},
		{role, DataBytes, "turns archived", "entries as committed",
			Multiply(model.get("requests"), Sum(turnBytes(model), model.get("entry_overhead_bytes")), model.get("log_encoding"))},
		{role, DataBytes, "configuration read", "every process reads every record",
			Multiply(processes, model.get("changes"), model.get("peak"), model.get("tiers_per_change"), model.get("tier_bytes"),
				model.get("log_encoding"), Per(Constant(secondsPerDay, "s a day")))},
	}
}
