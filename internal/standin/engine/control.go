package engine

import (
	"encoding/json"
	"net/http"
	"time"
)

// handleControl merges settings and injects faults. The response to a request for
// a crash may be lost, since the crash drops all connections.
func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	control := Control{Settings: e.settings}
	e.mu.Unlock()
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&control); err != nil {
		writeError(w, badRequest("control: %v", err))
		return
	}
	if mode := control.CrashMode; mode != CrashExit && mode != CrashReset {
		writeError(w, badRequest("control: crash_mode %q", mode))
		return
	}
	e.applyControl(control)
	writeJSON(w, http.StatusOK, control.Settings)
}

func (e *Engine) handleSettings(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	settings := e.settings
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, settings)
}

func (e *Engine) handleStats(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, e.snapshotStats(r.URL.Query().Get("hashes") != ""))
}

// handleJournal writes one JSON line for each recorded change of the cache.
func (e *Engine) handleJournal(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	journal := e.journal
	e.mu.Unlock()
	encoder := json.NewEncoder(w)
	for _, entry := range journal {
		if encoder.Encode(entry) != nil {
			return
		}
	}
}

func (e *Engine) applyControl(c Control) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = c.Settings
	e.cache.total = c.cacheBlocks()
	e.events.dropNext += c.DropNextEvents
	if c.FreezeMs > 0 {
		e.frozenUntil = time.Now().Add(milliseconds(c.FreezeMs))
	}
	if c.Crash {
		e.crash()
	}
	e.wakeStepLoop()
}
