package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 16 << 20

// pause waits ms milliseconds. It returns false if the caller disconnects first.
func pause(r *http.Request, ms int) bool {
	if ms <= 0 {
		return true
	}
	select {
	case <-time.After(milliseconds(ms)):
		return true
	case <-r.Context().Done():
		return false
	}
}

func queryOr(r *http.Request, name, fallback string) string {
	if v := r.URL.Query().Get(name); v != "" {
		return v
	}
	return fallback
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": message}})
}
