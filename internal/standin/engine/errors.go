package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	api "skylarklead/internal/engine"
)

// httpError is a response with a status other than 200.
type httpError struct {
	status  int
	code    string
	message string
}

func (e *httpError) Error() string { return e.message }

func badRequest(format string, args ...any) error {
	return &httpError{http.StatusBadRequest, api.CodeBadRequest, fmt.Sprintf(format, args...)}
}

func conflict(format string, args ...any) error {
	return &httpError{http.StatusConflict, api.CodeConflict, fmt.Sprintf(format, args...)}
}

func unavailable(code, message string) error {
	return &httpError{http.StatusServiceUnavailable, code, message}
}

// writeError writes the response for err, which is an *httpError or an
// *api.StaleFenceError; any other error is reported as a bad request.
func writeError(w http.ResponseWriter, err error) {
	var stale *api.StaleFenceError
	if errors.As(err, &stale) {
		writeJSON(w, http.StatusConflict, api.StaleFence{Fence: stale.Fence})
		return
	}
	httpErr := &httpError{http.StatusBadRequest, api.CodeBadRequest, err.Error()}
	errors.As(err, &httpErr)
	if httpErr.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	detail := api.ErrorDetail{Code: httpErr.code, Message: httpErr.message}
	writeJSON(w, httpErr.status, api.ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
