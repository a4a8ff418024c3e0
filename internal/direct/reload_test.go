package direct

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against changed settings that give each service a new retry budget: a series of
// them let a service get more repeats than any of the settings allow.
func TestReloadKeepsUsedRetries(t *testing.T) {
	next := Settings{Retry: RetryLimit{Extra: 100, Window: 10 * time.Second}}
	r := New(next, Platform{ReadSettings: func() (Settings, error) { return next, nil }}, NewMetrics(), hclog.NewNullLogger())
	r.setInstances([]fleet.Peer{{ID: "i1"}})
	now, retries := time.Now(), 0
	for range 10 { // within one window
		for r.retryBudget("s").Take(now, r.instanceCount()) {
			retries++
		}
		now = now.Add(500 * time.Millisecond)
		next.Retry.Extra--
		r.reload(true)
	}
	if retries > 100 {
		t.Errorf("%d retries in a window, want at most 100", retries)
	}
}
