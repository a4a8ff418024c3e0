package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// zoneGrace is how long an availability zone may get new requests after the edit
// that takes it out of service is in force (section 11 of the design).
const zoneGrace = 3 * time.Second

// checks computes the figures that must be 0.
func (h *History) checks() []Figure {
	over, where := h.excessOverLimits()
	return []Figure{
		mustBeZero("requests above a limit", float64(over), where),
		mustBeZero("duplicates of non-idempotent requests", float64(h.duplicates()), ""),
		mustBeZero("not-run refusals that ran", float64(h.falseRefusals()), ""),
		mustBeZero("two owners at the same time", float64(h.twoOwners()), "pairs of executions of one unit or routing key"),
		mustBeZero("wrong or short answers", float64(h.wrongAnswers()), ""),
		mustBeZero("work above what an upstream bears", float64(h.overloads()), ""),
		mustBeZero("requests in a zone out of service", float64(h.startsInZonesOut()), "started later than 3 s after the edit was in force"),
		mustBeZero("caller keys seen by an upstream", float64(len(h.CallerKeys)), strings.Join(slices.Compact(slices.Sorted(slices.Values(h.CallerKeys))), ", ")),
	}
}

func mustBeZero(name string, v float64, note string) Figure {
	return Figure{Name: name, Value: v, Unit: "requests", MustBeZero: true, Note: note}
}

// classLookup returns a function that finds the class of an executed request. The
// class is that of the request's call. Without a call, it is the class of the
// service's entries if all have the same one, and otherwise empty.
func (h *History) classLookup() func(x Execution) catalogue.Class {
	byClient := make(map[string]catalogue.Class, len(h.Calls))
	for _, c := range h.Calls {
		byClient[c.ClientID] = c.Class
	}
	byService := make(map[fleet.ServiceID]catalogue.Class)
	for _, e := range h.Run.Entries {
		if c, ok := byService[e.Service]; ok && c != e.Class {
			byService[e.Service] = ""
		} else {
			byService[e.Service] = e.Class
		}
	}
	return func(x Execution) catalogue.Class {
		if c, ok := byClient[x.ClientID]; ok {
			return c
		}
		return byService[x.Service]
	}
}

// duplicates counts the repeated executions of non-idempotent requests. An
// interrupted execution counts, because it may have taken effect.
func (h *History) duplicates() (n int) {
	class := h.classLookup()
	ran := make(map[string]int)
	for _, x := range h.Executions {
		if x.mayHaveTakenEffect() && class(x) == catalogue.NonIdempotent {
			if ran[x.ClientID]++; ran[x.ClientID] > 1 {
				n++
			}
		}
	}
	return n
}

// mayHaveTakenEffect reports whether the execution took effect or was interrupted
// before its end was recorded.
func (x Execution) mayHaveTakenEffect() bool { return x.Effect != 0 || x.End == 0 }

func (h *History) falseRefusals() (n int) {
	ran := make(map[string]bool)
	for _, x := range h.Executions {
		if x.mayHaveTakenEffect() {
			ran[x.ClientID] = true
		}
	}
	for _, c := range h.Calls {
		if c.Outcome == notRun && ran[c.ClientID] {
			n++
		}
	}
	return n
}

func (h *History) wrongAnswers() (n int) {
	for _, c := range h.Calls {
		if c.Outcome == wrong || (c.Status != 0 && !c.Whole) {
			n++
		}
	}
	return n
}

func (h *History) overloads() (n int) {
	for _, x := range h.Executions {
		if x.Concurrent > x.Bears {
			n++
		}
	}
	return max(n, len(h.Overloads))
}

func (h *History) startsInZonesOut() (n int) {
	zones := make(map[fleet.UpstreamID]string)
	for _, u := range h.Run.Upstreams {
		zones[u.ID] = string(u.Zone)
	}
	for i, e := range h.Run.Events {
		if e.Kind != ZoneOut {
			continue
		}
		from, to := e.At.Add(zoneGrace).UnixNano(), int64(math.MaxInt64)
		for _, back := range h.Run.Events[i:] {
			if back.Kind == ZoneIn && back.Name == e.Name {
				to = back.At.UnixNano()
				break
			}
		}
		for _, x := range h.Executions {
			if zones[x.Upstream] == e.Name && x.Start > from && x.Start < to {
				n++
			}
		}
	}
	return n
}

// twoOwners counts the pairs of executions of the same unit or routing key that
// overlap in time at different upstreams or boots. Executions that the upstream
// refused before any effect are harmless and left out.
func (h *History) twoOwners() int {
	pairs := make(map[[2]int]bool)
	byUnit, byKey := make(map[string][]int), make(map[string][]int)
	for i, x := range h.Executions {
		if x.mayHaveTakenEffect() {
			byUnit[x.Unit] = append(byUnit[x.Unit], i)
			byKey[string(x.Service)+" "+string(x.Key)] = append(byKey[string(x.Service)+" "+string(x.Key)], i)
		}
	}
	for _, groups := range []map[string][]int{byUnit, byKey} {
		for _, group := range groups {
			h.addOverlaps(group, pairs)
		}
	}
	return len(pairs)
}

// latestEffect returns the latest time at which an execution can have taken effect.
func (h *History) latestEffect(x Execution) int64 {
	if x.Effect != 0 {
		return x.Effect
	}
	end := h.LastEvent[x.Boot]
	for _, e := range h.Run.Events {
		if e.Kind == UpstreamLost && e.Name == string(x.Upstream) && e.At.UnixNano() >= x.Start {
			return e.At.UnixNano()
		}
	}
	return end
}

// addOverlaps adds to pairs the overlapping executions of a group. The group holds
// indexes of executions and is sorted by their start.
func (h *History) addOverlaps(group []int, pairs map[[2]int]bool) {
	var running []int
	for _, i := range group {
		x := h.Executions[i]
		running = slices.DeleteFunc(running, func(j int) bool { return h.latestEffect(h.Executions[j]) <= x.Start })
		for _, j := range running {
			if y := h.Executions[j]; x.Upstream != y.Upstream || x.Boot != y.Boot {
				pairs[[2]int{j, i}] = true
			}
		}
		running = append(running, i)
	}
}

// admission is the interval, in Unix nanoseconds, in which a request was admitted:
// from its arrival to the start of its first execution.
type admission struct{ earliest, start int64 }

// excessOverLimits returns the number of requests by which the worst window of
// each limit exceeds burst + rate × window, summed over all limits, and describes
// the worst limit.
//
// The exact time of an admission is not recorded. A request counts in a window
// only if the window contains its whole admission interval, from its arrival to
// the start of its first execution. The tolerance is thus the waiting time of each
// request and no more.
func (h *History) excessOverLimits() (total int, worst string) {
	entries := make(map[string]fleet.EntryID)
	arrived := make(map[string]int64)
	for _, c := range h.Calls {
		entries[c.ClientID], arrived[c.ClientID] = c.Entry, c.T0
	}
	byAccount, byEntry := make(map[fleet.AccountID][]admission), make(map[fleet.EntryID][]admission)
	counted := make(map[string]bool)
	for _, x := range h.Executions {
		if counted[x.ClientID] {
			continue // a repeated execution of the same request
		}
		counted[x.ClientID] = true
		a := admission{x.Start, x.Start}
		if t0, ok := arrived[x.ClientID]; ok {
			a.earliest = min(t0, x.Start)
		}
		byAccount[x.Account] = append(byAccount[x.Account], a)
		byEntry[entries[x.ClientID]] = append(byEntry[entries[x.ClientID]], a)
	}
	worstExcess := 0
	count := func(name string, l fleet.Limit, in []admission) {
		if l.Unlimited() {
			return
		}
		n := excess(l, in)
		total += n
		if n > worstExcess {
			worstExcess, worst = n, fmt.Sprintf("worst: %s, by %d", name, n)
		}
	}
	for _, a := range h.Run.Accounts {
		count("account "+string(a.ID), a.Limit, byAccount[a.ID])
	}
	for _, e := range h.Run.Entries {
		count("entry "+string(e.ID), e.Limit, byEntry[e.ID])
	}
	return total, worst
}

// excess returns the number of requests by which the worst window exceeds the
// limit, rounded up. It moves the end of the window over the execution starts and
// keeps count(x) + rate·x for each start x of the window in a prefixMaxTree.
func excess(l fleet.Limit, in []admission) int {
	if len(in) == 0 {
		return 0
	}
	slices.SortFunc(in, func(a, b admission) int { return cmp.Compare(a.start, b.start) })
	windowStarts := make([]int64, len(in))
	for i, a := range in {
		windowStarts[i] = a.earliest
	}
	slices.Sort(windowStarts)
	perNano := float64(l.Rate) / float64(time.Second)
	tree := newPrefixMaxTree(len(windowStarts), func(i int) float64 { return perNano * float64(windowStarts[i]-windowStarts[0]) })
	worst := 0.0
	for _, a := range in {
		startsUpToArrival, _ := slices.BinarySearch(windowStarts, a.earliest+1)
		tree.addPrefix(startsUpToArrival, 1)
		startsUpToEnd, _ := slices.BinarySearch(windowStarts, a.start+1)
		v := tree.maxPrefix(startsUpToEnd) - perNano*float64(a.start-windowStarts[0]) - float64(l.Burst)
		worst = max(worst, v)
	}
	// Times are rounded to nanoseconds; the error must not count as a request.
	return int(math.Ceil(worst - 1e-3))
}

// prefixMaxTree is a segment tree that adds a value to all positions of a prefix
// and returns the maximum of a prefix, both in logarithmic time.
type prefixMaxTree struct {
	size          int
	maximum, lazy []float64
}

func newPrefixMaxTree(n int, value func(i int) float64) *prefixMaxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &prefixMaxTree{size: size, maximum: make([]float64, 2*size), lazy: make([]float64, 2*size)}
	for i := range size {
		t.maximum[size+i] = math.Inf(-1)
		if i < n {
			t.maximum[size+i] = value(i)
		}
	}
	for i := size - 1; i > 0; i-- {
		t.maximum[i] = max(t.maximum[2*i], t.maximum[2*i+1])
	}
	return t
}

func (t *prefixMaxTree) addPrefix(n int, v float64) { t.add(1, 0, t.size, n, v) }

func (t *prefixMaxTree) add(node, lo, hi, n int, v float64) {
	if n <= lo {
		return
	}
	if n >= hi {
		t.maximum[node] += v
		t.lazy[node] += v
		return
	}
	mid := (lo + hi) / 2
	t.add(2*node, lo, mid, n, v)
	t.add(2*node+1, mid, hi, n, v)
	t.maximum[node] = max(t.maximum[2*node], t.maximum[2*node+1]) + t.lazy[node]
}

func (t *prefixMaxTree) maxPrefix(n int) float64 { return t.query(1, 0, t.size, n) }

func (t *prefixMaxTree) query(node, lo, hi, n int) float64 {
	if n <= lo {
		return math.Inf(-1)
	}
	if n >= hi {
		return t.maximum[node]
	}
	mid := (lo + hi) / 2
	return max(t.query(2*node, lo, mid, n), t.query(2*node+1, mid, hi, n)) + t.lazy[node]
}
