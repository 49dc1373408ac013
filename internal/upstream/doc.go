// Package upstream sends HTTP/1.1 requests to replicas and tells exactly how far
// each one got.
//
// The standard transport sends some requests again by itself and hides whether a
// failed one had reached the wire. A router must know: a payment that was written
// to a socket may have run. So connections are kept here, each carries one request
// at a time, nothing is sent twice, and one that did anything doubtful is closed.
package upstream
