package direct

import (
	"context"
	"time"
)

// reloadInterval is the time between two reads of the settings, which may change
// without a signal.
const reloadInterval = 2 * time.Second

// watchSettings applies changed settings: the quota tolerance, the retry limit and the
// shutdown grace time. Addresses and the instance's identity only change on a restart.
func (r *Router) watchSettings(ctx context.Context) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-r.platform.SettingsSignals:
			signalled = true
		case <-tick.C:
		}
		r.reload(signalled)
	}
}

func (r *Router) reload(signalled bool) {
	next, err := r.platform.ReadSettings()
	if err != nil {
		r.log.Error("reloading the settings failed", "error", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := next != r.lastSettings
	r.lastSettings = next
	if changed {
		r.cfg.ShutdownGrace, r.cfg.LeavingUse = next.ShutdownGrace, next.LeavingUse
		if next.Retry != r.cfg.Retry {
			r.cfg.Retry = next.Retry
			for _, b := range r.retryBudgets {
				b.SetLimit(next.Retry.Ratio, next.Retry.Extra, next.Retry.Window)
			}
		}
		if next.Quota != r.cfg.Quota {
			r.cfg.Quota = next.Quota
			r.accounts.setTolerance(accountTolerance(next.Quota))
		}
	}
	if signalled || changed {
		r.log.Info("settings reloaded", "signal", signalled, "changed", changed)
	}
}
