// Package ledger implements tier budgets with distributed escrow. A tier has one
// Account, owned by one shard. Every shard that runs programs of the tier has an
// Escrow, a portion of the budget granted to it by the account. A call's
// worst-case cost is reserved from the escrow before dispatch and settled
// afterwards.
//
// All state is replicated and changes only by applying committed log entries, so
// the package uses no clock, I/O, locks or randomness. Messages between account
// and escrow may be lost, duplicated or reordered. They carry cumulative totals,
// which never decrease, so stale and duplicate messages have no effect and no
// message IDs are needed.
//
// Invariants:
//
//   - returned + reserved + spent <= granted, in every escrow;
//   - for each shard, the account's granted total is at least the escrow's, and
//     its returned total at most the escrow's, so the account's outstanding
//     amount bounds what all shards hold and have spent;
//   - an account grants only what is available in its budget, so the outstanding
//     amount exceeds the budget only after the budget was lowered.
package ledger
