package balance

import "time"

// RetryBudget limits the retries of an instance. The limit applies to all instances
// together over a window. Without communication, each instance may use a share of its
// own requests and an equal part of the fixed allowance.
type RetryBudget struct {
	ratio  float64 // retries per request
	extra  float64 // retries per window, of all instances together
	window time.Duration

	tokens     float64
	lastRefill time.Time
}

// budgetUse is the share of the common limit that instances use. The rest keeps a
// sliding window within the limit when the traffic changes during it.
const budgetUse = 0.85

// NewRetryBudget returns a budget of ratio retries per request of this instance, plus this
// instance's part of extra retries per window.
func NewRetryBudget(ratio float64, extra int, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, extra: float64(extra), window: window}
}

// SetLimit replaces the limit. Retries that were counted before still count.
func (b *RetryBudget) SetLimit(ratio float64, extra int, window time.Duration) {
	b.ratio, b.extra, b.window = ratio, float64(extra), window
}

func (b *RetryBudget) refill(now time.Time, instances int) {
	share := b.extra * budgetUse / float64(max(instances, 1))
	if b.lastRefill.IsZero() {
		b.tokens = share / 2
	} else {
		// Half of the allowance may be saved up, and the other half accrues over a window.
		b.tokens += share / 2 * now.Sub(b.lastRefill).Seconds() / b.window.Seconds()
	}
	b.lastRefill = now
	b.tokens = min(b.tokens, share/2+2)
}

// Request adds the retries that one request of a caller allows.
func (b *RetryBudget) Request(now time.Time, instances int) {
	b.refill(now, instances)
	b.tokens += b.ratio * budgetUse
}

// Take reports whether a request may be retried, and if so counts the retry.
func (b *RetryBudget) Take(now time.Time, instances int) bool {
	b.refill(now, instances)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
