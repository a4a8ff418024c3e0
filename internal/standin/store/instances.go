package store

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
)

// instances is the platform's instance list. A change becomes visible after the
// lag, in the order of the changes.
type instances struct {
	lag     time.Duration
	visible map[string]platform.Listed
	pending []instanceChange
}

type instanceChange struct {
	at     time.Time
	listed platform.Listed // only the name is set if removed
	remove bool
}

func newInstances(lag time.Duration) *instances {
	return &instances{lag: lag, visible: make(map[string]platform.Listed)}
}

func (l *instances) change(c instanceChange) { l.pending = append(l.pending, c) }

// list returns what is visible at now, by name.
func (l *instances) list(now time.Time) []platform.Listed {
	for len(l.pending) > 0 && !now.Before(l.pending[0].at.Add(l.lag)) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.remove {
			delete(l.visible, c.listed.Name)
		} else {
			l.visible[c.listed.Name] = c.listed
		}
	}
	out := make([]platform.Listed, 0, len(l.visible))
	for _, v := range l.visible {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b platform.Listed) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
