// Package cachemap is the picture that an endpoint process has of its engine's
// prefix cache, built from the engine's cache events.
//
// Events come late and with gaps. A gap makes all that was confirmed before it
// doubtful and asks for the events again (picture.go). What no replay can fill
// ages out unless something confirms it: a later event, or an answer's own count
// of cached tokens. Entries of another engine incarnation or weights version are
// void at once. Levels that requests have named are tracked, so that their
// residency can be advertised to their owners (roots.go).
//
// The package is pure: events in, actions out, time passed in. A Picture is not
// safe for concurrent use.
package cachemap
