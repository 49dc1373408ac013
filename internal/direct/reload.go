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

// settingsPollInterval is the pause between checks of the settings file. It may change without a
// signal, and nothing depends on how soon that is noticed.
const settingsPollInterval = 5 * time.Second

// SettingsLoader reads the settings again, in the same way as at the start.
type SettingsLoader func() (*settings.Settings, error)

// directSettings returns the settings of the direct role that are in force.
func (e *Entry) directSettings() *settings.Direct { return e.reloadable.Load() }

// reload reloads the settings on SIGHUP and when their file changes. Without a handler the signal
// would end the process and cut every stream.
func (e *Entry) reload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			e.reloadSettings("SIGHUP")
		case <-tick.C:
			e.reloadSettings("")
		}
	}
}

// reloadSettings puts changed settings in force. Those of sockets and of the entry's ID stay as
// they were at the start. A file that is unreadable or invalid leaves all settings unchanged.
func (e *Entry) reloadSettings(by string) {
	if e.loadSettings == nil {
		return
	}
	s, err := e.loadSettings()
	if err != nil {
		e.tel.Log.Error("settings not reloaded; current settings stay in force", "by", by, "error", err)
		return
	}
	if s.Direct == nil || s.Role != e.settings.Role {
		e.tel.Log.Error("settings not reloaded; current settings stay in force", "by", by, "error", "settings are for another role")
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
		e.setPrefixDonors(&next)
	}
	if by != "" || changed || restart {
		e.tel.Log.Info("settings reloaded", "by", by, "changed", changed, "wait_for_restart", restart)
	}
}

// retryBudgetParams returns the retry budget that all entries together have for a service.
func retryBudgetParams(d *settings.Direct) attempt.BudgetParams {
	return attempt.BudgetParams{
		Share: d.RetryShare * retryBudgetMargin, Burst: d.RetryExtra * retryBudgetMargin,
		CarryOver: d.RetryWindow.D() / carryOverDivisor,
	}
}
