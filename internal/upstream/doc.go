// Package upstream sends HTTP/1.1 requests to replicas and reports exactly how far
// each one got.
//
// The transport of net/http retries some requests by itself, and does not tell
// whether a failed one had been written. A router must know this: a payment that
// was written to a socket may have run. So this package keeps its own connections.
// Each carries one request at a time, nothing is sent twice, and a connection in an
// uncertain state is closed.
package upstream
