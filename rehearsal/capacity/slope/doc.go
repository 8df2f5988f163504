// Package slope measures, on this machine, the costs of one unit of work or
// state that the capacity tables are worked out from: sizes of usual messages, a
// twirp call, the memory of a program, decoding. Where a cost should be in
// proportion to a size it is measured at two sizes.
package slope
