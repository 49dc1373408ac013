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

// Saved is a file of results.
type Saved struct {
	// Date is when the run ended, Commit the working tree's revision then.
	Date   string          `json:"date"`
	Commit string          `json:"commit"`
	Points json.RawMessage `json:"points"`
}

// SaveSlopes writes points, or whatever a run gave, as JSON.
func SaveSlopes(dir, name string, points any) error {
	raw, err := json.Marshal(points)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	saved := Saved{Date: time.Now().UTC().Format("2006-01-02 15:04"), Commit: commit(), Points: raw}
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

// loadSlopes reads what SaveSlopes wrote; the points stay encoded.
func loadSlopes(dir, name string) (s Saved, err error) {
	data, err := os.ReadFile(filepath.Join(dir, name+".json"))
	if err != nil {
		return s, fmt.Errorf("measure: %w", err)
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("measure: %s: %w", name, err)
	}
	return s, nil
}

// commit names the revision of the working tree, with "-dirty" if it was changed.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// exclusively does one point while it holds the lock, if there is one.
func (o SlopeOptions) exclusively(ctx context.Context, do func() error) error {
	if o.Lock == "" {
		return do()
	}
	file, err := os.OpenFile(o.Lock, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	locked := make(chan error, 1)
	go func() { locked <- syscall.Flock(int(file.Fd()), syscall.LOCK_EX) }()
	select {
	case err = <-locked:
	case <-ctx.Done(): // the goroutine goes on waiting until this process ends
		return ctx.Err()
	}
	defer file.Close() // lets go of the lock
	if err != nil {
		return fmt.Errorf("measure: lock: %w", err)
	}
	return do()
}
