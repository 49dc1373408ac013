package direct

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/settings"
)

// rereadEvery is the pause between looks at the settings file: it may change without
// a signal, and no bound hangs on how soon that is noticed.
const rereadEvery = 5 * time.Second

// SettingsLoader reads the settings again, as at the start.
type SettingsLoader func() (*settings.Settings, error)

// directSettings returns the settings in force of the role.
func (e *Entry) directSettings() *settings.Direct { return e.reloadable.Load() }

// reload follows the settings file: at SIGHUP, and where it has changed by itself.
// Without a handler the signal would end the process and cut every stream.
func (e *Entry) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(rereadEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			e.reread("SIGHUP")
		case <-tick.C:
			e.reread("")
		}
	}
}

// reread puts changed settings in force. Those of sockets and of the entry's name
// hold from its start; a file that can't be read or is wrong leaves all as they are.
func (e *Entry) reread(by string) {
	if e.source == nil {
		return
	}
	s, err := e.source()
	if err != nil {
		e.tel.Log.Error("settings not reloaded; those in force stay", "by", by, "error", err)
		return
	}
	if s.Direct == nil || s.Role != e.settings.Role {
		e.tel.Log.Error("settings not reloaded; those in force stay", "by", by, "error", "not of this role")
		return
	}
	next, now := *s.Direct, *e.directSettings()
	restart := next.Listen != now.Listen || next.Ready != now.Ready || next.Peers != now.Peers || next.Store != now.Store
	next.Listen, next.Ready, next.Peers, next.Store = now.Listen, now.Ready, now.Peers, now.Store
	changed := !reflect.DeepEqual(next, now)
	if changed {
		e.reloadable.Store(&next)
		e.state.setRetryBudget(retryBudgetParams(&next))
		e.quotas.setParams(&next)
	}
	if by != "" || changed || restart {
		e.tel.Log.Info("settings reloaded", "by", by, "changed", changed, "wait_for_restart", restart)
	}
}

// retryBudgetParams is what all entries together may send a second time to a service.
func retryBudgetParams(d *settings.Direct) attempt.BudgetParams {
	return attempt.BudgetParams{Share: d.RetryShare * retryBudgetMargin, Burst: d.RetryExtra * retryBudgetMargin}
}
