package direct

import (
	"testing"
	"time"

	"skylarklead/internal/attempt"
)

// Guards against a whole retry budget with each restart of the entries: together they would send more than the operator
// allows in one window.
func TestRestartDoesntRenewTheRetryBudget(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		e := newQueueEntry(t)
		e.settings.Direct.Peers = "127.0.0.1:0"
		p, err := newPeers(e)
		if err != nil {
			t.Fatal(err)
		}
		defer p.conn.Close()
		close(p.listRead)
		p.listedAtStart = restarted
		e.state.setRetryBudget(attempt.BudgetParams{Share: 0.5, Burst: 10})
		p.applyList()
		allowed := 0
		budget := e.state.retryBudgetOf("s")
		for budget.Allow(attempt.ExtraRetry, "", 0) {
			allowed++
		}
		if want := map[bool]int{false: 10, true: 0}[restarted]; allowed != want {
			t.Errorf("restarted: %t, %d retries allowed before any request, want %d", restarted, allowed, want)
		}
		for range 2 {
			budget.RecordRequest(time.Second)
		}
		if !budget.Allow(attempt.ExtraRetry, "", time.Second) {
			t.Error("no retry after as many requests as earn one")
		}
	}
}
