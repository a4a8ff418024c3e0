package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// hotCounters bounds the memory of the sketch. A key with more than 1/64 of
	// an upstream's requests is certain to be counted.
	hotCounters = 64
	hotReported = 8
	hotWindow   = time.Second
)

// hotKeys is a space-saving sketch of the routing keys in one window.
type hotKeys struct {
	since  time.Time
	n      int
	counts []hotCount
	index  map[fleet.RoutingKey]int // position in counts
	load   float64                  // requests/s in the last whole window
	top    []assignment.HotKey      // of the last whole window
}

type hotCount struct {
	key    fleet.RoutingKey
	n      int
	excess int // upper bound of what n counts too much
}

func newHotKeys(now time.Time) hotKeys {
	return hotKeys{since: now, index: make(map[fleet.RoutingKey]int, hotCounters)}
}

func (h *hotKeys) add(key fleet.RoutingKey) {
	h.n++
	if i, ok := h.index[key]; ok {
		h.counts[i].n++
		return
	}
	if len(h.counts) < hotCounters {
		h.index[key] = len(h.counts)
		h.counts = append(h.counts, hotCount{key: key, n: 1})
		return
	}
	least := 0
	for i, c := range h.counts {
		if c.n < h.counts[least].n {
			least = i
		}
	}
	c := &h.counts[least]
	delete(h.index, c.key)
	h.index[key] = least
	*c = hotCount{key: key, n: c.n + 1, excess: c.n}
}

// roll ends the window if it has lasted long enough.
func (h *hotKeys) roll(now time.Time) {
	length := now.Sub(h.since)
	if length < hotWindow {
		return
	}
	slices.SortFunc(h.counts, func(a, b hotCount) int {
		if d := (b.n - b.excess) - (a.n - a.excess); d != 0 {
			return d
		}
		return strings.Compare(string(a.key), string(b.key))
	})
	h.top = h.top[:0]
	for _, c := range h.counts[:min(hotReported, len(h.counts))] {
		if sure := c.n - c.excess; sure > 1 {
			h.top = append(h.top, assignment.HotKey{Key: c.key, Rate: float64(sure) / length.Seconds()})
		}
	}
	h.load = float64(h.n) / length.Seconds()
	h.since, h.n, h.counts = now, 0, h.counts[:0]
	clear(h.index)
}
