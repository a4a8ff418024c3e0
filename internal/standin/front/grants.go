package front

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// keyCount is the number of keys of a sharded service.
const keyCount = 1 << 16

// GrantLog records the grants that the upstreams of one service accept, and finds those
// that break the rules of ownership: a key moves to another upstream only with a higher
// fencing token, and only one upstream holds it at a time.
type GrantLog struct {
	mu         sync.Mutex
	startedAt  time.Time
	histories  map[string]*keyHistory
	events     []grantEvent
	violations []GrantViolation
}

// keyHistory contains what an upstream has had of each key.
type keyHistory struct {
	fences    [keyCount]int           // highest fencing token, 0: never held
	heldUntil [keyCount]time.Duration // since startedAt of the log
}

// grantEvent is a change of a holder. Renewals are not among them.
type grantEvent struct {
	at         time.Duration // since startedAt of the log
	text       string
	first, end int // keys from first, before end
}

// GrantViolation is a grant that breaks a rule of ownership.
type GrantViolation struct {
	At          time.Time
	Upstream    string // accepted the grant
	Other       string // had or holds the keys
	First, Last int    // lowest and highest key concerned
	Fence       int    // of the grant
	OtherFence  int    // of the other upstream, at key First
	Held        bool   // the other upstream holds the keys; otherwise, Fence is not above OtherFence
}

func (v GrantViolation) String() string {
	problem := "not above the fence with which %s had them, %d"
	if v.Held {
		problem = "while %s holds them with fence %d"
	}
	return fmt.Sprintf("%s takes keys %d to %d with fence %d, "+problem, v.Upstream, v.First, v.Last, v.Fence, v.Other, v.OtherFence)
}

// NewGrantLog returns an empty log.
func NewGrantLog() *GrantLog {
	return &GrantLog{startedAt: time.Now(), histories: make(map[string]*keyHistory)}
}

// Violations returns all grants that broke a rule, in the order of their arrival.
func (l *GrantLog) Violations() []GrantViolation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Trace returns the changes of the holders of a key, one a line, with their times.
func (l *GrantLog) Trace(key int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	for _, e := range l.events {
		if key >= e.first && key < e.end {
			fmt.Fprintf(&b, "%s  %s\n", l.startedAt.Add(e.at).Format("15:04:05.000"), e.text)
		}
	}
	return b.String()
}

// granted records that an upstream accepted a grant.
func (l *GrantLog) granted(id string, g grant, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	at, end := now.Sub(l.startedAt), g.expiresAt.Sub(l.startedAt)
	own := l.history(id)
	if own.fences[g.from] != g.fence || own.fences[g.to] != g.fence || own.heldUntil[g.from] <= at || own.heldUntil[g.to] <= at {
		l.events = append(l.events, grantEvent{at, fmt.Sprintf("%s takes %d to %d, fence %d", id, g.from, g.to, g.fence), g.from, g.to + 1})
	}
	for other, h := range l.histories {
		if other == id {
			continue
		}
		held := GrantViolation{At: now, Upstream: id, Other: other, First: -1, Fence: g.fence, Held: true}
		low := held
		low.Held = false
		for key := g.from; key <= g.to; key++ {
			if h.heldUntil[key] > at {
				held.include(key, h.fences[key])
			}
			if h.fences[key] >= g.fence {
				low.include(key, h.fences[key])
			}
		}
		for _, v := range []GrantViolation{held, low} {
			if v.First >= 0 {
				l.violations = append(l.violations, v)
			}
		}
	}
	for key := g.from; key <= g.to; key++ {
		own.fences[key], own.heldUntil[key] = max(own.fences[key], g.fence), end
	}
}

// include adds a key to those that the violation concerns. Keys are added in order.
func (v *GrantViolation) include(key, otherFence int) {
	if v.First < 0 {
		v.First, v.OtherFence = key, otherFence
	}
	v.Last = key
}

// ended records that an upstream holds none of some keys any more.
func (l *GrantLog) ended(id, cause string, from, to int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(id)
	for key := from; key <= to; key++ {
		h.heldUntil[key] = 0
	}
	l.events = append(l.events, grantEvent{time.Since(l.startedAt), fmt.Sprintf("%s %s %d to %d", id, cause, from, to), from, to + 1})
}

// history returns the history of an upstream. The caller holds mu.
func (l *GrantLog) history(id string) *keyHistory {
	h := l.histories[id]
	if h == nil {
		h = &keyHistory{}
		l.histories[id] = h
	}
	return h
}
