package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// SavedResults is the content of a file of results.
type SavedResults struct {
	// Date is when the results were saved, Commit the working tree's revision at
	// that time.
	Date   string          `json:"date"`
	Commit string          `json:"commit"`
	Points json.RawMessage `json:"points"`
}

// SaveSlopes writes the results of a run, usually points, to a JSON file.
func SaveSlopes(dir, name string, points any) error {
	raw, err := json.Marshal(points)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	saved := SavedResults{Date: time.Now().UTC().Format("2006-01-02 15:04"), Commit: revision(), Points: raw}
	data, err := json.MarshalIndent(saved, "", " ")
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return nil
}

// loadSlopes reads a file written by SaveSlopes. The points stay encoded.
func loadSlopes(dir, name string) (s SavedResults, err error) {
	data, err := os.ReadFile(filepath.Join(dir, name+".json"))
	if err != nil {
		return s, fmt.Errorf("measure: %w", err)
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("measure: %s: %w", name, err)
	}
	return s, nil
}

// revision returns the revision of the working tree, with the suffix "-dirty" if
// it has changes, or "unknown".
func revision() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// withLock calls measure while it holds the lock on o.Lock, if set.
func (o SlopeOptions) withLock(ctx context.Context, measure func() error) error {
	if o.Lock == "" {
		return measure()
	}
	file, err := os.OpenFile(o.Lock, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	locked := make(chan error, 1)
	go func() { locked <- syscall.Flock(int(file.Fd()), syscall.LOCK_EX) }()
	select {
	case err = <-locked:
	case <-ctx.Done(): // the goroutine waits for the lock until this process exits
		return ctx.Err()
	}
	defer file.Close() // releases the lock
	if err != nil {
		return fmt.Errorf("measure: lock: %w", err)
	}
	return measure()
}
