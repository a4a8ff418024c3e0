package store

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
)

// laggedList is the platform's instance list. Changes become visible after the lag,
// in the order in which they were made.
type laggedList struct {
	lag     time.Duration
	visible map[string]platform.Listed
	pending []instanceChange
}

// instanceChange adds, replaces or removes one entry of the instance list.
type instanceChange struct {
	at     time.Time
	listed platform.Listed // for a removal only the name is set
	remove bool
}

func newLaggedList(lag time.Duration) *laggedList {
	return &laggedList{lag: lag, visible: make(map[string]platform.Listed)}
}

func (l *laggedList) addChange(c instanceChange) { l.pending = append(l.pending, c) }

// visibleAt returns the entries that are visible at now, sorted by name.
func (l *laggedList) visibleAt(now time.Time) []platform.Listed {
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
