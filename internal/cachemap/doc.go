// Package cachemap tracks what an engine's prefix cache holds, as seen by its endpoint process.
// The view is built from the engine's cache events.
//
// Events arrive late and with gaps. A gap makes all blocks confirmed before it stale, and the
// missing events are requested again (view.go). If no replay can bring them, stale blocks
// expire unless a later event or an answer's count of cached tokens confirms them. Blocks of
// another engine incarnation or weights version are dropped at once. Levels named by requests are
// tracked, so that their residency can be advertised to their owners (levels.go).
//
// The package does no I/O: events go in, actions come out, and time is passed in. A View is not
// safe for concurrent use.
package cachemap
