package instance

import (
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// ringSize is the number of elements that an instance keeps of each kind for
// explanations. At 20 refusals/s they cover a few minutes.
const ringSize = 4096

// ring keeps the newest ringSize elements with their times. It is safe for
// concurrent use.
type ring[T any] struct {
	mu    sync.Mutex
	items []timedItem[T]
	next  int
}

type timedItem[T any] struct {
	at   time.Time
	item T
}

func (r *ring[T]) add(now time.Time, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < ringSize {
		r.items = append(r.items, timedItem[T]{now, item})
		return
	}
	r.items[r.next] = timedItem[T]{now, item}
	r.next = (r.next + 1) % ringSize
}

// newest returns up to n matching elements, newest first.
func (r *ring[T]) newest(n int, match func(T) bool) []timedItem[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []timedItem[T]
	for i := len(r.items) - 1; i >= 0 && len(out) < n; i-- {
		if item := r.items[(r.next+i)%len(r.items)]; match(item.item) {
			out = append(out, item)
		}
	}
	return out
}

// refusedRequest is a refused request with its refusal.
type refusedRequest struct {
	id      fleet.RequestID
	account fleet.AccountID
	entry   fleet.EntryID
	service fleet.ServiceID
	key     fleet.RoutingKey
	refusal fleet.Refusal
	took    time.Duration
}

// fleetEvent is an event of the store, the catalogue or an upstream.
type fleetEvent struct {
	kind   string
	detail string
}

// history holds what an instance records for explanations.
type history struct {
	moves    ring[assignment.Move]
	refusals ring[refusedRequest]
	events   ring[fleetEvent]
}

// revisionHistory records when revisions were learned and when they were found to
// be in force.
type revisionHistory struct {
	pending []timedRevision
	inForce []timedRevision // newest last, at most maxInForceRevisions
}

type timedRevision struct {
	known authority.Revisions
	at    time.Time
}

const maxInForceRevisions = 64

func (c *revisionHistory) add(now time.Time, r authority.Revisions) {
	c.pending = append(c.pending, timedRevision{r, now})
}

// takeInForce moves the revisions that are now in force from pending to inForce.
// It returns the time that each took from being learned.
func (c *revisionHistory) takeInForce(now time.Time, inForce func(authority.Revisions) bool) []time.Duration {
	var out []time.Duration
	for len(c.pending) > 0 && inForce(c.pending[0].known) {
		out = append(out, now.Sub(c.pending[0].at))
		c.inForce = append(c.inForce, timedRevision{c.pending[0].known, now})
		c.pending = c.pending[1:]
	}
	if extra := len(c.inForce) - maxInForceRevisions; extra > 0 {
		c.inForce = c.inForce[extra:]
	}
	return out
}

// inForceSince returns when the catalogue revision, or a later one, was found to
// be in force.
func (c *revisionHistory) inForceSince(rev fleet.Revision) (time.Time, bool) {
	for _, r := range c.inForce {
		if r.known.Catalogue >= rev {
			return r.at, true
		}
	}
	return time.Time{}, false
}
