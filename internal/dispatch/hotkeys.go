package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// maxHotKeyCounters bounds the memory of the sketch. A key with more than 1/64 of
	// an upstream's requests is certain to have a counter at the end of the window.
	maxHotKeyCounters  = 64
	maxReportedHotKeys = 8
	hotKeyWindow       = time.Second
)

// hotKeys counts the most frequent routing keys of an upstream in windows of
// hotKeyWindow with the Space-Saving algorithm.
type hotKeys struct {
	windowStart time.Time
	requests    int
	counters    []hotKeyCounter
	index       map[fleet.RoutingKey]int // index into counters
	rate        float64                  // requests/s in the last complete window
	top         []assignment.HotKey      // most frequent keys of the last complete window
}

type hotKeyCounter struct {
	key       fleet.RoutingKey
	count     int
	overcount int // upper bound on the overestimate of count
}

func newHotKeys(now time.Time) hotKeys {
	return hotKeys{windowStart: now, index: make(map[fleet.RoutingKey]int, maxHotKeyCounters)}
}

func (h *hotKeys) add(key fleet.RoutingKey) {
	h.requests++
	if i, ok := h.index[key]; ok {
		h.counters[i].count++
		return
	}
	if len(h.counters) < maxHotKeyCounters {
		h.index[key] = len(h.counters)
		h.counters = append(h.counters, hotKeyCounter{key: key, count: 1})
		return
	}
	lowest := 0
	for i, c := range h.counters {
		if c.count < h.counters[lowest].count {
			lowest = i
		}
	}
	c := &h.counters[lowest]
	delete(h.index, c.key)
	h.index[key] = lowest
	*c = hotKeyCounter{key: key, count: c.count + 1, overcount: c.count}
}

// rotateWindow starts a new window if the present one has lasted hotKeyWindow.
func (h *hotKeys) rotateWindow(now time.Time) {
	length := now.Sub(h.windowStart)
	if length < hotKeyWindow {
		return
	}
	slices.SortFunc(h.counters, func(a, b hotKeyCounter) int {
		if d := (b.count - b.overcount) - (a.count - a.overcount); d != 0 {
			return d
		}
		return strings.Compare(string(a.key), string(b.key))
	})
	h.top = h.top[:0]
	for _, c := range h.counters[:min(maxReportedHotKeys, len(h.counters))] {
		if minCount := c.count - c.overcount; minCount > 1 {
			h.top = append(h.top, assignment.HotKey{Key: c.key, Rate: float64(minCount) / length.Seconds()})
		}
	}
	h.rate = float64(h.requests) / length.Seconds()
	h.windowStart, h.requests, h.counters = now, 0, h.counters[:0]
	clear(h.index)
}
