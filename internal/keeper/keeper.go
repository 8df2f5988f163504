// Package keeper grants slots on a pool of engines. A pool holds the engines
// of one model that are near one another; one scheduler process at a time keeps
// it, under a fenced lease. The keeper is a pure state: Step takes the time and
// one event and returns effects. It has no clock, socket, lock or random source
// of its own, so the same code runs in the scheduler process and, on a virtual
// clock, in the experiment tool.
package keeper
