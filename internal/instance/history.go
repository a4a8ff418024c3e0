package instance

import (
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// historySize bounds what an instance remembers for explanations; at 20
// refusals a second it covers a few minutes.
const historySize = 4096

// ring keeps the newest historySize elements with their times. It is safe for
// concurrent use.
type ring[T any] struct {
	mu    sync.Mutex
	items []timed[T]
	next  int
}

type timed[T any] struct {
	at   time.Time
	item T
}

func (r *ring[T]) add(now time.Time, item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < historySize {
		r.items = append(r.items, timed[T]{now, item})
		return
	}
	r.items[r.next] = timed[T]{now, item}
	r.next = (r.next + 1) % historySize
}

// newest returns up to n elements that match, newest first.
func (r *ring[T]) newest(n int, match func(T) bool) []timed[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []timed[T]
	for i := len(r.items) - 1; i >= 0 && len(out) < n; i-- {
		if item := r.items[(r.next+i)%len(r.items)]; match(item.item) {
			out = append(out, item)
		}
	}
	return out
}

// refusedRequest is a refusal as it is remembered for explanations.
type refusedRequest struct {
	id      fleet.RequestID
	account fleet.AccountID
	entry   fleet.EntryID
	service fleet.ServiceID
	key     fleet.RoutingKey
	refusal fleet.Refusal
	took    time.Duration
}

// occurrence is something that the fleet did or suffered.
type occurrence struct {
	kind   string
	detail string
}

// history is what an instance remembers for explanations.
type history struct {
	moves    ring[assignment.Move]
	refusals ring[refusedRequest]
	events   ring[occurrence]
}

// revisionClock remembers when revisions were learned and came into force here.
type revisionClock struct {
	waiting []learnedRevision
	inForce []learnedRevision // newest last, at most revisionMemory
}

type learnedRevision struct {
	known authority.Known
	at    time.Time
}

const revisionMemory = 64

func (c *revisionClock) learn(now time.Time, k authority.Known) {
	c.waiting = append(c.waiting, learnedRevision{k, now})
}

// settle returns how long each revision that is now in force took since it was
// learned.
func (c *revisionClock) settle(now time.Time, inForce func(authority.Known) bool) []time.Duration {
	var out []time.Duration
	for len(c.waiting) > 0 && inForce(c.waiting[0].known) {
		out = append(out, now.Sub(c.waiting[0].at))
		c.inForce = append(c.inForce, learnedRevision{c.waiting[0].known, now})
		c.waiting = c.waiting[1:]
	}
	if extra := len(c.inForce) - revisionMemory; extra > 0 {
		c.inForce = c.inForce[extra:]
	}
	return out
}

// inForceSince returns when the catalogue revision, or a later one, was found to
// be in force.
func (c *revisionClock) inForceSince(rev fleet.Revision) (time.Time, bool) {
	for _, r := range c.inForce {
		if r.known.Catalogue >= rev {
			return r.at, true
		}
	}
	return time.Time{}, false
}
