// Package capacity works out what the system needs at its target size: for each
// role, control bytes, processor time and memory of a process, and the load on
// the platform's log. Inputs are the target's figures, two designs (today's
// defaults, and the planned changes) and slopes measured on one machine, each
// with the command that measures it. The tables of docs/CAPACITY.md are its
// output.
package capacity
