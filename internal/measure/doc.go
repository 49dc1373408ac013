// Package measure runs the daemons of a deployment on one machine against the
// stand-ins, under a seeded load, and reports the users' three measures: prefix
// hit rate, tail time to first token, and wasted recomputation.
//
// It is a development tool: it starts the processes that it measures and stops
// them by process ID. Hit rate and waste come from the engines' own accounts and
// journals, times to first token from the callers, control traffic and CPU from
// the daemons' metrics pages.
package measure
