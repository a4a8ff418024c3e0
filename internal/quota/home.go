package quota

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// dividedRate is the least part of a limit, in requests a second for each instance,
	// that is divided among instances. Of a smaller one an instance would refuse
	// requests that arrive close together while the others leave their parts unused:
	// one in seven with parts of 0.4 a second, one in 20 with parts of 2.
	dividedRate = 3.0
	// homeSlack is the part of the tolerated requests that a home uses. It counts
	// exactly; the rest is left for the time in which two instances take themselves for
	// the home.
	homeSlack = 0.25
)

// Divided reports whether a limit is divided among so many instances. One that is
// not is counted by its account's home alone.
func Divided(limit fleet.Limit, instances int) bool {
	return limit.Unlimited() || float64(limit.Rate) >= dividedRate*float64(max(instances, 1))
}

// Home counts the requests of the accounts that this instance is the home of, for
// all instances.
type Home struct {
	cfg      Config
	accounts map[fleet.AccountID]*pool
}

type pool struct {
	tokens float64
	filled time.Time
}

// NewHome returns a home that has admitted nothing.
func NewHome(cfg Config) *Home {
	return &Home{cfg: cfg, accounts: make(map[fleet.AccountID]*pool)}
}

// SetConfig replaces what the platform tolerates.
func (h *Home) SetConfig(cfg Config) { h.cfg = cfg }

// Admit reports whether a request of the account is within its limit. The duration
// is the time until a token is there.
func (h *Home) Admit(now time.Time, id fleet.AccountID, limit fleet.Limit) (bool, time.Duration) {
	rate := float64(limit.Rate)
	depth := max(1, float64(limit.Burst)+h.cfg.Slack*homeSlack)
	p := h.accounts[id]
	if p == nil {
		p = &pool{tokens: max(1, rate*startTime.Seconds()), filled: now}
		h.accounts[id] = p
	}
	p.tokens = min(p.tokens+rate*max(0, now.Sub(p.filled).Seconds()), depth)
	p.filled = now
	if p.tokens < 1 {
		return false, time.Duration((1 - p.tokens) / rate * float64(time.Second))
	}
	p.tokens--
	return true, 0
}

// CountedElsewhere notes that a home counts the account's requests: if its limit is
// divided again, this instance starts without tokens.
func (t *Table) CountedElsewhere(now time.Time, id fleet.AccountID, limit fleet.Limit) {
	b := t.accounts[id]
	if b == nil {
		b = &bucket{}
		t.accounts[id] = b
	}
	b.limit, b.tokens, b.filled, b.demand = limit, 0, now, 0
}
