package capacity

// keeperLines are the costs of a scheduler that keeps one pool.
func keeperLines(model *inputModel) []line {
	const role = RoleKeeper
	lines := keeperTalk(model, role, "pools")
	return append(lines,
		line{role, ControlBytes, "engines' load reports", "polled",
			Multiply(model.get("engines"), Sum(model.get("http_bytes"), model.get("report_bytes")),
				model.per("report_seconds"), model.per("pools"))},
		line{role, ControlBytes, "engines' load reports, programs' blocks", "changes since the last poll only",
			Multiply(model.get("programs"), model.get("report_program_bytes"), model.get("report_share"),
				model.per("report_seconds"), model.per("pools"))},
		line{role, ControlProcessor, "engines' load reports", "net/http and JSON",
			Multiply(model.get("engines"), model.get("report_us"), model.per("report_seconds"), model.per("pools"))},
		line{role, ControlProcessor, "engines' load reports, programs' blocks", "changes only; merged and compared whole, not counted",
			Multiply(model.get("programs"), model.get("report_program_us"), model.get("report_share"),
				model.per("report_seconds"), model.per("pools"))},
		line{role, ControlProcessor, "decisions", "filter, score, pick; part of the leader's row too",
			Multiply(model.get("requests"), model.get("keeper_call_us"), model.per("pools"))},
		line{role, Memory, "programs with cache in the pool", "table of prefixes, corrected by reports",
			Multiply(model.get("programs"), model.get("keeper_program_bytes"), model.get("heap_factor"), model.per("pools"))},
		line{role, Operations, "calls", "-", Multiply(model.get("requests"), model.per("pools"))},
	)
}
