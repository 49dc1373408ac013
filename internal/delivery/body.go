package delivery

import (
	"net/http"
	"time"
)

// unreadBodyTimeout bounds how long an answer waits for the rest of a body that the handler doesn't read. A body that
// is under way arrives meanwhile, and the connection is kept.
const unreadBodyTimeout = 200 * time.Millisecond

// LimitUnreadBody bounds the time for which the server waits for what the handler leaves unread of a request's body. Before it
// sends an answer's head it reads the rest, and the caller may never send that. A handler that does read the body
// sets a read deadline of its own, and takes it back once it has the body.
func LimitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the connection has no deadlines, as in tests; it is ignored.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}
