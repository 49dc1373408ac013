package direct

import (
	"net/http"
	"runtime/debug"
)

// reasonPanic is why a request failed whose handler panicked.
const reasonPanic = "internal error"

// recoverPanic answers a request whose handler panicked. Otherwise the server would close the connection
// without an answer, and write the panic beside the log. It is deferred.
func (req *request) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	e := req.entry
	e.tel.Metrics.Count("handler_panics", 1)
	e.tel.Log.Error("request handler panicked", "request", req.params.ID, "panic", v, "stack", string(debug.Stack()))
	req.dropHeld()
	if req.firstByte > 0 {
		req.abort(reasonPanic)
	}
	req.fail(http.StatusInternalServerError, reasonPanic, 0)
}
