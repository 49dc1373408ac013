// Package runcopy decides which runs get a backup of their KV memory at another replica and where,
// and whether a run that lost its replica goes on from there. It is pure: time, replicas and what
// was found out about them are passed in.
//
// A stream that may run only once can't be sent again after its replica has crashed. Its backup is
// the memory of that same run, so that going on from it is no second run.
package runcopy
