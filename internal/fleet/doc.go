// Package fleet is the vocabulary of an entry that feeds endpoints directly: what
// the operator configured, which replicas there are, and what a request asks for.
// It is below the decision packages and the adapter of the platform, imports
// neither, and does no I/O.
package fleet
