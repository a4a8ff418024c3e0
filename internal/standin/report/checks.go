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

// zoneGrace is how long an availability zone may still get new requests after
// it was taken out of service (section 11 of the design).
const zoneGrace = 3 * time.Second

// checks returns the figures that must be 0.
func (h *History) checks() []Figure {
	over, where := h.aboveLimits()
	return []Figure{
		mustBeZero("requests above a limit", float64(over), where),
		mustBeZero("duplicates of non-idempotent requests", float64(h.duplicates()), ""),
		mustBeZero("not-run refusals that ran", float64(h.falseRefusals()), ""),
		mustBeZero("two owners at the same time", float64(h.twoOwners()), "pairs of executions of one unit or routing key"),
		mustBeZero("wrong or short answers", float64(h.wrongAnswers()), ""),
		mustBeZero("work above what an upstream bears", float64(h.overloads()), ""),
		mustBeZero("requests in a zone out of service", float64(h.inZoneOut()), "started later than 3 s after the edit was in force"),
		mustBeZero("caller keys seen by an upstream", float64(len(h.CallerKeys)), strings.Join(slices.Compact(slices.Sorted(slices.Values(h.CallerKeys))), ", ")),
	}
}

func mustBeZero(name string, v float64, note string) Figure {
	return Figure{Name: name, Value: v, Unit: "requests", MustBeZero: true, Note: note}
}

// class returns the class of each request, from its caller's line, or else from
// the entries of the service if they all have the same class.
func (h *History) class() func(x Execution) catalogue.Class {
	byClient := make(map[string]catalogue.Class, len(h.Calls))
	for _, c := range h.Calls {
		byClient[c.Client] = c.Class
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
		if c, ok := byClient[x.Client]; ok {
			return c
		}
		return byService[x.Service]
	}
}

// duplicates counts effects of non-idempotent requests beyond the first. An
// execution that was cut off may have had its effect, so it counts as one.
func (h *History) duplicates() (n int) {
	class := h.class()
	ran := make(map[string]int)
	for _, x := range h.Executions {
		if x.mayHaveRun() && class(x) == catalogue.NonIdempotent {
			if ran[x.Client]++; ran[x.Client] > 1 {
				n++
			}
		}
	}
	return n
}

// mayHaveRun reports whether the request had its effect or was cut off.
func (x Execution) mayHaveRun() bool { return x.Effect != 0 || x.End == 0 }

func (h *History) falseRefusals() (n int) {
	ran := make(map[string]bool)
	for _, x := range h.Executions {
		if x.mayHaveRun() {
			ran[x.Client] = true
		}
	}
	for _, c := range h.Calls {
		if c.Outcome == notRun && ran[c.Client] {
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

func (h *History) inZoneOut() (n int) {
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

// twoOwners counts pairs of executions that overlap in time, of one unit or one
// routing key, at different upstreams or boots. Executions that the upstream
// refused before their effect did no harm and are left out.
func (h *History) twoOwners() int {
	pairs := make(map[[2]int]bool)
	byUnit, byKey := make(map[string][]int), make(map[string][]int)
	for i, x := range h.Executions {
		if x.mayHaveRun() {
			byUnit[x.Unit] = append(byUnit[x.Unit], i)
			byKey[string(x.Service)+" "+string(x.Key)] = append(byKey[string(x.Service)+" "+string(x.Key)], i)
		}
	}
	for _, groups := range []map[string][]int{byUnit, byKey} {
		for _, group := range groups {
			h.overlaps(group, pairs)
		}
	}
	return len(pairs)
}

// until is when an execution can last have had its effect.
func (h *History) until(x Execution) int64 {
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

// overlaps adds the overlapping pairs of a group, which is in order of start.
func (h *History) overlaps(group []int, pairs map[[2]int]bool) {
	var running []int
	for _, i := range group {
		x := h.Executions[i]
		running = slices.DeleteFunc(running, func(j int) bool { return h.until(h.Executions[j]) <= x.Start })
		for _, j := range running {
			if y := h.Executions[j]; x.Upstream != y.Upstream || x.Boot != y.Boot {
				pairs[[2]int{j, i}] = true
			}
		}
		running = append(running, i)
	}
}

// admission is the time between which and an execution's start the request was
// admitted.
type admission struct{ earliest, start int64 }

// aboveLimits returns by how many requests the worst windows of all limits
// exceed burst + rate × window, and names the worst limit.
//
// A request is admitted between its caller's t0 and the start of its first
// execution. It counts in a window only if this whole interval lies inside: the
// allowance for the time between admission and execution is thus each request's
// own waiting time, and no more.
func (h *History) aboveLimits() (total int, worst string) {
	entries := make(map[string]fleet.EntryID)
	arrived := make(map[string]int64)
	for _, c := range h.Calls {
		entries[c.Client], arrived[c.Client] = c.Entry, c.T0
	}
	byAccount, byEntry := make(map[fleet.AccountID][]admission), make(map[fleet.EntryID][]admission)
	seen := make(map[string]bool)
	for _, x := range h.Executions {
		if seen[x.Client] {
			continue // another attempt of the same request
		}
		seen[x.Client] = true
		a := admission{x.Start, x.Start}
		if t0, ok := arrived[x.Client]; ok {
			a.earliest = min(t0, x.Start)
		}
		byAccount[x.Account] = append(byAccount[x.Account], a)
		byEntry[entries[x.Client]] = append(byEntry[entries[x.Client]], a)
	}
	most := 0
	count := func(name string, l fleet.Limit, in []admission) {
		if l.Unlimited() {
			return
		}
		n := excess(l, in)
		total += n
		if n > most {
			most, worst = n, fmt.Sprintf("worst: %s, by %d", name, n)
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

// excess returns by how many requests the worst window exceeds the limit. It
// moves the end of the window over the starts and keeps, for each beginning x of
// the window, count(x) + rate·x in a tree of maxima.
func excess(l fleet.Limit, in []admission) int {
	if len(in) == 0 {
		return 0
	}
	slices.SortFunc(in, func(a, b admission) int { return cmp.Compare(a.start, b.start) })
	begins := make([]int64, len(in))
	for i, a := range in {
		begins[i] = a.earliest
	}
	slices.Sort(begins)
	perNano := float64(l.Rate) / float64(time.Second)
	tree := newMaxima(len(begins), func(i int) float64 { return perNano * float64(begins[i]-begins[0]) })
	worst := 0.0
	for _, a := range in {
		own, _ := slices.BinarySearch(begins, a.earliest+1)
		tree.addPrefix(own, 1)
		inside, _ := slices.BinarySearch(begins, a.start+1)
		v := tree.maxPrefix(inside) - perNano*float64(a.start-begins[0]) - float64(l.Burst)
		worst = max(worst, v)
	}
	// Rounding of the times to nanoseconds must not count as a request.
	return int(math.Ceil(worst - 1e-3))
}

// maxima is a tree over positions with addition to a prefix and the maximum of a
// prefix, both in logarithmic time.
type maxima struct {
	size       int
	most, lazy []float64
}

func newMaxima(n int, value func(i int) float64) *maxima {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxima{size: size, most: make([]float64, 2*size), lazy: make([]float64, 2*size)}
	for i := range size {
		t.most[size+i] = math.Inf(-1)
		if i < n {
			t.most[size+i] = value(i)
		}
	}
	for i := size - 1; i > 0; i-- {
		t.most[i] = max(t.most[2*i], t.most[2*i+1])
	}
	return t
}

func (t *maxima) addPrefix(n int, v float64) { t.add(1, 0, t.size, n, v) }

func (t *maxima) add(node, lo, hi, n int, v float64) {
	if n <= lo {
		return
	}
	if n >= hi {
		t.most[node] += v
		t.lazy[node] += v
		return
	}
	mid := (lo + hi) / 2
	t.add(2*node, lo, mid, n, v)
	t.add(2*node+1, mid, hi, n, v)
	t.most[node] = max(t.most[2*node], t.most[2*node+1]) + t.lazy[node]
}

func (t *maxima) maxPrefix(n int) float64 { return t.find(1, 0, t.size, n) }

func (t *maxima) find(node, lo, hi, n int) float64 {
	if n <= lo {
		return math.Inf(-1)
	}
	if n >= hi {
		return t.most[node]
	}
	mid := (lo + hi) / 2
	return max(t.find(2*node, lo, mid, n), t.find(2*node+1, mid, hi, n)) + t.lazy[node]
}
