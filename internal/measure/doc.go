// Package measure runs the daemons of a deployment and the stand-ins on one
// machine under a seeded load. It reports the prefix hit rate, tail latency to the
// first token, and wasted recomputation, and measures how the daemons' resource
// usage grows with one quantity at a time.
//
// It is a development tool: it starts the processes that it measures and stops
// them by process ID. Hit rate and waste are from the statistics and journals of
// the stand-in engines, times to first token from the callers, control traffic and
// CPU from the daemons' metrics pages.
package measure
