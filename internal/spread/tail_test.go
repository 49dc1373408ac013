package spread

import (
	"slices"
	"testing"
	"time"

	"skylarklead/internal/fleet"
)

// Guards against records from before the restore of a store that are forwarded for ever, or
// although their key was written since.
func TestRecordsOfBeforeArePassedOnForATime(t *testing.T) {
	record := func(era, offset uint64, key, value string) fleet.Record {
		r := fleet.Record{Offset: fleet.Position(era, offset), Key: key}
		if value != "" {
			r.Value = []byte(value)
		}
		return r
	}
	tail := NewTail(true)
	tail.Reset([]fleet.Record{record(0, 3, "config", "5"), record(0, 4, "version", "2")}, 5)
	tail.StoreRestored(time.Minute)
	tail.Reset([]fleet.Record{record(1, 0, "config", "4")}, fleet.Position(1, 1))
	values := func(now time.Duration) (list []string) {
		for _, r := range tail.Newest(now) {
			list = append(list, r.Key+" "+string(r.Value))
		}
		return list
	}
	if got, want := values(time.Minute), []string{"config 5", "version 2", "config 4"}; !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
	tail.Append(record(1, 1, "config", "6"), time.Minute)
	if got, want := values(time.Minute), []string{"version 2", "config 6"}; !slices.Equal(got, want) {
		t.Errorf("%q after a key was written again, want %q", got, want)
	}
	if got, want := values(time.Minute+preRestoreTTL+1), []string{"config 6"}; !slices.Equal(got, want) {
		t.Errorf("%q after beforeRestoreTTL, want %q", got, want)
	}
}
