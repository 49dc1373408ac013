package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	api "skylarklead/internal/engine"
)

// refusedError is an answer other than 200.
type refusedError struct {
	status  int
	code    string
	message string
}

func (e *refusedError) Error() string { return e.message }

func badRequest(format string, args ...any) error {
	return &refusedError{http.StatusBadRequest, api.CodeBadRequest, fmt.Sprintf(format, args...)}
}

func conflict(format string, args ...any) error {
	return &refusedError{http.StatusConflict, api.CodeConflict, fmt.Sprintf(format, args...)}
}

func unavailable(code, message string) error {
	return &refusedError{http.StatusServiceUnavailable, code, message}
}

// writeError answers with an error. Only refusals and stale orders come here.
func writeError(w http.ResponseWriter, err error) {
	var stale *api.StaleFenceError
	if errors.As(err, &stale) {
		writeJSON(w, http.StatusConflict, api.StaleFence{Fence: stale.Fence})
		return
	}
	refused := &refusedError{http.StatusBadRequest, api.CodeBadRequest, err.Error()}
	errors.As(err, &refused)
	if refused.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	detail := api.ErrorDetail{Code: refused.code, Message: refused.message}
	writeJSON(w, refused.status, api.ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
