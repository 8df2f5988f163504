// Package ledger keeps the budgets of tiers. A tier has one Account, held by
// one shard; every shard that runs programs of the tier has an Escrow, a part
// of the budget granted to it. A call's worst case is reserved from the escrow
// before it is dispatched and settled after it.
//
// All state is replicated: it changes only by committed entries, and nothing
// here has a clock, socket, lock or random source. Messages between account and
// escrow may be lost, repeated or reordered; they carry totals since the
// tier began, which only rise, so that an old or repeated one changes nothing
// and no message id has to be remembered.
//
// Invariants:
//
//   - returned + reserved + spent <= granted, in every escrow;
//   - an account's granted total for a shard is never below the shard's own, and
//     its returned total never above, so that the account's outstanding amount
//     bounds what all shards together hold and have spent;
//   - an account grants only what its budget has left, so that outstanding
//     exceeds the budget only after the budget was lowered.
package ledger
