package capacity

import (
	"slices"

	"github.com/go-faster/errors"
)

// Estimate is the predicted cost of one quantity for one role at the design scale.
type Estimate struct {
	Role        string
	Kind        string // state, messages, processor or memory
	Quantity    string
	Value       float64
	Bound       float64
	Unit        string
	Mechanism   string  // mechanism of the design that keeps the value within the bound
	Alternative string  // proposed change if the value exceeds the bound
	SeriesID    string  // series that the value is computed from; empty if it is computed without one
	Size        float64 // size at which the series is evaluated
}

// WithinBound reports whether the implemented design stays within the bound.
func (l Estimate) WithinBound() bool { return l.Value <= l.Bound }

// model computes estimates from measured series, also for sizes that were not
// measured. Processor costs are in nanoseconds of processor time.
type model struct{ series map[string]Series }

// requiredSeries lists the ids of the series that a model needs.
var requiredSeries = []string{
	"assignment-bytes", "assignment-heap", "assignment-encode", "assignment-decode", "plan-unchanged", "plan-lost", "owner",
	"members-bytes", "home-choice", "catalogue-parse", "catalogue-bytes", "index-heap", "index-build", "route",
	"home-heap", "home-take", "token-calls-accounts", "token-calls-rate", "holder-tick", "admit", "dispatch-heap", "control-calls",
	"dispatch-tick", "dispatch-request", "metrics-heap", "metrics-series", "metrics-scrape", "poll-heap", "poll-cpu",
	"poll-bytes", "token-cpu", "token-bytes", "renew-cpu", "renew-bytes", "store-reads", "store-lists",
}

func newModel(series []Series) (model, error) {
	m := model{series: map[string]Series{}}
	for _, s := range series {
		m.series[s.ID] = s
	}
	for _, id := range requiredSeries {
		if len(m.series[id].Points) < 3 {
			return m, errors.Errorf("series %s has %d points, want 3 or more", id, len(m.series[id].Points))
		}
	}
	return m, nil
}

func (m model) at(id string, x float64) float64 { return m.series[id].At(x) }

func (m model) slope(id string) float64 { return m.series[id].Fit.Slope }

// extrapolationFactor returns x divided by the largest measured size of the series. A
// factor of at most 1 means that x is within the measured range.
func (m model) extrapolationFactor(id string, x float64) float64 { return x / m.series[id].Largest() }

// pollBytes returns the traffic in B/s of a member that polls n−1 others and is polled
// by them, once per pollInterval each.
func (m model) pollBytes(n float64) float64 {
	return 2 * (n - 1) / pollInterval.Seconds() * (m.at("poll-bytes", n) + callHeaderBytes)
}

// pollCPU returns the processor time in ns/s that a member among n spends on polls.
// For each other member it sends one poll and answers one poll per pollInterval.
func (m model) pollCPU(n float64) float64 {
	return (n - 1) / pollInterval.Seconds() * m.at("poll-cpu", n)
}

// recordBytes returns the size in bytes of an assignment record with n members.
func (m model) recordBytes(n, units float64) float64 {
	return m.at("assignment-bytes", units) + float64(m.slope("members-bytes")*n)
}

// homeSelectionRate returns how often per second an instance chooses the homes of all
// limits: every 100 ms for 1.5 s after each change of the member list. share is the
// share of the member changes, from 0 to 1, that the instance sees.
func homeSelectionRate(share float64) float64 {
	const selectionsPerChange = 15
	return share * selectionsPerChange * (restartsPerDay + failuresPerDay) / secondsPerDay
}

// memoryPerNode returns the bytes that an instance keeps for the whole fleet and for
// its own upstreams.
func (m model) memoryPerNode() float64 {
	return m.at("assignment-heap", units) + m.recordBytes(nodes, units) + m.at("poll-heap", nodes) +
		m.at("metrics-heap", 200) + m.at("dispatch-heap", upstreamsPerNode)
}

// cpuPerNode returns the processor time in ns/s that a node spends on records,
// decisions, ticks and renewals.
func (m model) cpuPerNode() float64 {
	return float64(assignmentWriteRate*m.at("assignment-decode", units)) + float64(catalogueWriteRate*m.at("catalogue-parse", 4000)) +
		float64(requestsPerNode*(m.admitCPU()+m.at("dispatch-request", upstreamsPerNode))) +
		float64(100*(m.at("dispatch-tick", upstreamsPerNode)+m.at("holder-tick", requestsPerNode))) +
		float64(m.at("control-calls", upstreamsPerNode)*m.slope("renew-cpu"))
}

// admitCPU returns the processor time in ns that the receiving instance needs to
// route, authenticate and admit a request and to find the owner of its key.
func (m model) admitCPU() float64 { return m.at("route", 0) + m.at("admit", 0) + m.at("owner", 0) }

func (m model) estimates() []Estimate {
	return slices.Concat(m.receiverEstimates(), m.dispatcherEstimates(), m.homeEstimates(), m.plannerEstimates(), m.storeEstimates(), m.upstreamEstimates())
}

func (m model) receiverEstimates() []Estimate {
	const role = "receiving instance"
	return []Estimate{
		{
			role, "memory", "decoded assignment of 379,870 units", m.at("assignment-heap", units), memoryBound, "B",
			"units are shards: the table does not grow with the keys", "cells: each instance keeps its cell's units", "assignment-heap", units,
		},
		{
			role, "memory", "catalogue index, if the keys in use are caller keys", m.at("index-heap", keysInUse), memoryBound, "B",
			"", "caller keys in hashed buckets, kept by the nodes and loaded on demand (see the two readings)", "index-heap", keysInUse,
		},
		{
			role, "memory", "connections to all members, both ends", m.at("poll-heap", nodes), memoryBound, "B",
			"one connection per direction and peer", "cells: connections within the cell, and to one instance of each other cell in use", "poll-heap", nodes,
		},
		{
			role, "memory", "sum of the memory lines without caller keys, with the stored record", m.memoryPerNode(), memoryBound, "B",
			"the lines above and below", "cells", "poll-heap", nodes,
		},
		{
			role, "messages", "traffic of all-to-all polls", m.pollBytes(nodes), bytesBound, "B/s",
			"", "cells; polls of five voters with a compact answer, full answers only on change", "poll-bytes", nodes,
		},
		{
			role, "processor", "all-to-all polls", m.pollCPU(nodes), cpuBound, "core",
			"", "cells", "poll-cpu", nodes,
		},
		{
			role, "messages", "assignment records after 1,520 restarts and failures a day, 4 writes each",
			assignmentWriteRate * m.recordBytes(nodes, units) * base64Factor, bytesBound, "B/s",
			"", "cells: a change is sent to the members of its cell only", "assignment-bytes", units,
		},
		{
			role, "processor", "decoding of these records", assignmentWriteRate * m.at("assignment-decode", units), cpuBound, "core",
			"one decoding per write; a plan covers all changes of 50 ms", "cells", "assignment-decode", units,
		},
		{
			role, "messages", "catalogue of the largest allowed size (700 kB) after 16,000 changes a day", catalogueWriteRate * 700e3 * base64Factor, bytesBound, "B/s",
			"", "the catalogue in parts per service, and changes sent as differences", "catalogue-bytes", 4000,
		},
		{
			role, "processor", "parsing of it (4,000 caller keys)", catalogueWriteRate * m.at("catalogue-parse", 4000), cpuBound, "core",
			"one parse per change", "the catalogue in parts per service", "catalogue-parse", 4000,
		},
		{
			role, "processor", "decisions for 2,182 requests/s: route, authenticate, limit, owner", requestsPerNode * m.admitCPU(), cpuBound, "core",
			"maps: the cost does not grow with keys or units", "fewer allocations in route.Decide; it is most of this line", "route", 1000,
		},
		{
			role, "processor", "sum of the lines of a node that are carried one by one", m.cpuPerNode(), cpuBound, "core",
			"the lines above and below", "cells (no decoding for others), a queue of due times in the holder; decisions not counted as control", "", 0,
		},
		{
			role, "memory", "metrics with 200 account labels", m.at("metrics-heap", 200), memoryBound, "B",
			"a fixed number of account labels", "fewer labels", "metrics-heap", 200,
		},
		{
			role, "messages", "scrape of them every 15 s, not compressed", m.at("metrics-scrape", 200) / scrapeInterval, bytesBound, "B/s",
			"a fixed number of account labels", "20 account labels, the busiest ones", "metrics-scrape", 200,
		},
	}
}

func (m model) dispatcherEstimates() []Estimate {
	const role = "dispatcher"
	calls := m.at("control-calls", upstreamsPerNode)
	return []Estimate{
		{
			role, "memory", "3 upstreams with 23 units each", m.at("dispatch-heap", upstreamsPerNode), memoryBound, "B",
			"a dispatcher keeps its own upstreams only", "more nodes", "dispatch-heap", upstreamsPerNode,
		},
		{
			role, "messages", "renewals to 3 upstreams", calls * (m.slope("renew-bytes") + callHeaderBytes), bytesBound, "B/s",
			"one renewal per upstream and 200 ms, whatever the number of units", "renewals in a compact form, or every 300 ms", "renew-bytes", 1000,
		},
		{
			role, "processor", "renewals, counted with the upstream's end", calls * m.slope("renew-cpu"), cpuBound, "core",
			"one renewal per upstream and 200 ms", "a plain TCP exchange in place of HTTP", "renew-cpu", 1000,
		},
		{
			role, "processor", "100 ticks/s", 100 * m.at("dispatch-tick", upstreamsPerNode), cpuBound, "core",
			"a tick visits the dispatcher's own upstreams only", "a tick per due time", "dispatch-tick", upstreamsPerNode,
		},
		{
			role, "processor", "decisions for 2,182 requests/s", requestsPerNode * m.at("dispatch-request", upstreamsPerNode), cpuBound, "core",
			"queues and slots per upstream", "more nodes", "dispatch-request", upstreamsPerNode,
		},
	}
}

func (m model) homeEstimates() []Estimate {
	const role = "home of limits"
	perNode := float64(accounts) / nodes
	// An account with 120 requests/s sends each of the 5,500 instances about 0.02
	// requests/s. A token lease ends before its holder receives a second request of
	// the account, so that each request needs a token call.
	return []Estimate{
		{
			role, "memory", "buckets of 18 of 100,000 accounts", m.slope("home-heap") * perNode, memoryBound, "B",
			"rendezvous hashing spreads the accounts", "more nodes", "home-heap", perNode,
		},
		{
			role, "messages", "token calls: one per request, since an instance gets 0.02 requests/s of an account",
			requestsPerNode * 2 * (m.slope("token-bytes") + callHeaderBytes), bytesBound, "B/s",
			"", "requests forwarded through their account's home, which admits them without a call; per-region limits keep that hop in the region", "token-bytes", 1000,
		},
		{
			role, "processor", "token calls, both ends", requestsPerNode * m.slope("token-cpu"), cpuBound, "core",
			"", "the same", "token-cpu", 1000,
		},
		{
			role, "processor", "choice of the home for every limit on every instance, 15 times per change of the members", homeSelectionRate(1) * accounts * m.at("home-choice", nodes), cpuBound, "core",
			"", "choose among the members of a cell", "home-choice", nodes,
		},
		{
			role, "processor", "100 ticks/s of a holder with 2,182 limits in use", 100 * m.at("holder-tick", requestsPerNode), cpuBound, "core",
			"a tick visits the limits in use only", "a queue of due times; or requests of an account sent to few instances", "holder-tick", requestsPerNode,
		},
	}
}

func (m model) plannerEstimates() []Estimate {
	const role = "planner"
	plan := m.at("plan-lost", units) + m.at("assignment-encode", units) + m.at("assignment-decode", units)
	return []Estimate{
		{
			role, "state", "assignment record", m.recordBytes(nodes, units), storeValueBound, "B",
			"", "cells: a record per cell", "assignment-bytes", units,
		},
		{
			role, "processor", "plan after a loss, encode and decode, within the 2 s", plan, planBound, "ns",
			"one pass over the units", "cells", "plan-lost", units,
		},
		{
			role, "processor", "20 plans/s that change nothing", 20 * m.at("plan-unchanged", units), cpuBound, "core",
			"one pass over the units", "a plan only after a report, a list or a member changed; cells", "plan-unchanged", units,
		},
		{
			role, "memory", "input and result of a plan, with the record", float64(2*m.at("assignment-heap", units)) + m.recordBytes(nodes, units), memoryBound, "B",
			"the units are copied only if one moves", "cells", "assignment-heap", units,
		},
		{
			role, "messages", "time to pin 370 hot keys that are spread over 4 or more services", hotKeyCount / 4.0 / 4 * 10, hotKeyPinBound, "s",
			"4 pins per 10 s and service; reports of the 8 hottest keys", "", "", 0,
		},
		{
			role, "messages", "time to pin 370 hot keys of one service", hotKeyCount / 4.0 * 10, hotKeyPinBound, "s",
			"", "a pace of pins per cell instead of per service", "", 0,
		},
	}
}

func (m model) storeEstimates() []Estimate {
	const role = "store"
	return []Estimate{
		{
			role, "messages", "reads of changes by 5,500 instances", m.at("store-reads", nodes), readsBound, "1/s",
			"", "one reader per cell that feeds the others through polls", "store-reads", nodes,
		},
		{
			role, "messages", "reads of the instance list (no bound is stated; that of reads is taken)", m.at("store-lists", nodes), readsBound, "1/s",
			"", "the reader of the cell", "store-lists", nodes,
		},
		{
			role, "messages", "writes on average: 16,000 changes, 1,520 restarts and failures a day", catalogueWriteRate + assignmentWriteRate, writesBound, "1/s",
			"two records, one write per edit or plan", "", "", 0,
		},
		{
			role, "messages", "writes in the second after the loss of a zone (458 instances)", 3, writesBound, "1/s",
			"one plan for all losses; members, dispatchers and finished handovers", "", "", 0,
		},
		{
			role, "state", "catalogue record, if the keys in use are caller keys", m.at("catalogue-bytes", keysInUse), storeValueBound, "B",
			"", "hashed buckets of caller keys, one value each", "catalogue-bytes", keysInUse,
		},
	}
}

func (m model) upstreamEstimates() []Estimate {
	const role = "upstream's view"
	return []Estimate{
		{
			role, "messages", "control calls", m.at("control-calls", upstreamsPerNode) / upstreamsPerNode, 10, "1/s",
			"a single dispatcher, whatever the number of instances (bound: two per renewal interval)", "", "control-calls", upstreamsPerNode,
		},
		{
			role, "messages", "traffic of them", 5 * (m.slope("renew-bytes") + callHeaderBytes), bytesBound, "B/s",
			"the same", "", "renew-bytes", 1000,
		},
		{
			role, "state", "connections: at most 100 for requests, 4 for control, 4 for renewals", 108, 120, "",
			"a single dispatcher with bounded pools", "", "", 0,
		},
	}
}
