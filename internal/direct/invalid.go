package direct

import (
	"strings"
	"time"
)

const (
	// invalidLogInterval is the shortest time between two log lines about invalid entries
	// of one kind. The leader reads each entry twice a second for as long as it exists.
	invalidLogInterval = 30 * time.Second
	// maxLoggedInvalid bounds the entries that a log line describes.
	maxLoggedInvalid = 3
)

// entryKind is a kind of entries that others write in the store. It is a metric label.
type entryKind string

const (
	entryUpstream      entryKind = "upstream"
	entryConfiguration entryKind = "configuration"
	entryRollout       entryKind = "rollout"
)

// noteInvalid counts entries that were read from the store and ignored because they are
// invalid, and logs some of them at a bounded rate.
func (r *Router) noteInvalid(now time.Time, kind entryKind, problems []error) {
	if len(problems) == 0 {
		return
	}
	r.metrics.countInvalid(kind, len(problems))
	r.mu.Lock()
	due := now.Sub(r.invalidLoggedAt[kind]) >= invalidLogInterval
	if due {
		r.invalidLoggedAt[kind] = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	var examples []string
	for _, err := range problems[:min(len(problems), maxLoggedInvalid)] {
		examples = append(examples, err.Error())
	}
	r.log.Warn("invalid store entries ignored", "kind", string(kind), "entries", len(problems), "errors", strings.Join(examples, "; "))
}
