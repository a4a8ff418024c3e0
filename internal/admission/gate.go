package admission

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Request is a request on which a Gate decides.
type Request struct {
	Service  fleet.ServiceID
	Sharded  bool
	Holder   fleet.UpstreamID // of its key; empty if there is none
	Priority routes.Priority
	Retry    bool // it has probably been refused before
}

// Decision is the result of Gate.Arrive.
type Decision struct {
	Admitted bool
	Target   Target  // that is short of capacity, if the request is refused
	Share    float64 // admitted of requests of this priority
}

// Report is what an instance reports to the leader.
type Report struct {
	For      time.Duration // since the last report
	Services map[fleet.ServiceID]Counts
	Holders  map[Target]ByPriority // requests
}

// Gate admits the requests of one instance.
type Gate struct {
	rng       *rand.Rand
	shares    Shares // of the leader
	learnedAt time.Time
	own       *Controller // with the counts of this instance only
	ownShares Shares
	credits   map[creditKey]float64

	services   map[fleet.ServiceID]*Counts // since the last report
	holders    map[Target]*ByPriority
	reportedAt time.Time
	unsettled  map[fleet.ServiceID]*ownCounts // not passed to own yet
}

// ownCounts are counts for the Controller of the instance itself.
type ownCounts struct {
	Counts
	sharded bool
}

// creditKey identifies the requests that share a credit.
type creditKey struct {
	target   Target
	priority int
}

// maxHolders bounds the holders of a report. An instance receives fewer requests between
// two reports at the design rate.
const maxHolders = 300

// NewGate returns the Gate of an instance that has received no shares from a leader.
func NewGate(now time.Time, rng *rand.Rand) *Gate {
	own := NewController(now, nil)
	own.single = true
	return &Gate{
		rng: rng, own: own, credits: make(map[creditKey]float64), reportedAt: now,
		services: make(map[fleet.ServiceID]*Counts), holders: make(map[Target]*ByPriority), unsettled: make(map[fleet.ServiceID]*ownCounts),
	}
}

// Arrive counts a request and decides whether it is sent.
//
// The admitted requests of a priority follow its share exactly: each arrival adds the share
// to a credit, and each admitted request takes 1. A request that was refused before is
// admitted as soon as there is any credit, others only with a whole one, so that callers
// that return go before new ones.
func (g *Gate) Arrive(now time.Time, q Request) Decision {
	p := index(q.Priority)
	g.count(q, p)
	shares := g.sharesAt(now)
	if len(shares) == 0 {
		return Decision{Admitted: true, Share: 1}
	}
	d := Decision{Admitted: true, Share: 1}
	for _, t := range [...]Target{{Service: q.Service}, {Service: q.Service, Holder: q.Holder}} {
		if s, short := shares[t]; short && s[p] < d.Share {
			d.Target, d.Share = t, s[p]
		}
	}
	if d.Share < 1 {
		d.Admitted = g.takeCredit(creditKey{d.Target, p}, d.Share, q.Retry)
	}
	return d
}

// takeCredit adds share to a credit, and takes 1 from it if the request is admitted. The
// credits of the instances start at random, so that they do not all refuse at the same time.
func (g *Gate) takeCredit(key creditKey, share float64, retry bool) bool {
	credit, known := g.credits[key]
	if !known {
		credit = g.rng.Float64()
	}
	credit += share
	admitted := credit >= 1 || retry && credit > 0
	if admitted {
		credit--
	}
	g.credits[key] = credit
	return admitted
}

func (g *Gate) count(q Request, p int) {
	c, own := g.services[q.Service], g.unsettled[q.Service]
	if c == nil {
		c = new(Counts)
		g.services[q.Service] = c
	}
	if own == nil {
		own = &ownCounts{sharded: q.Sharded}
		g.unsettled[q.Service] = own
	}
	c.Requests[p]++
	own.Requests[p]++
	if q.Holder == "" {
		return
	}
	t := Target{q.Service, q.Holder}
	h := g.holders[t]
	if h == nil {
		if len(g.holders) >= maxHolders {
			return
		}
		h = new(ByPriority)
		g.holders[t] = h
	}
	h[p]++
}

// Attempted counts the result of an attempt at an upstream of a service.
func (g *Gate) Attempted(id fleet.ServiceID, e Evidence) {
	if c := g.services[id]; c != nil {
		c.Evidence.add(e)
	}
	if own := g.unsettled[id]; own != nil {
		own.Evidence.add(e)
	}
}

func (e *Evidence) add(other Evidence) {
	e.Answered += other.Answered
	e.Queued += other.Queued
	e.Rejected += other.Rejected
}

// sharesAt returns the shares in force.
func (g *Gate) sharesAt(now time.Time) Shares {
	g.settle(now)
	if now.Sub(g.learnedAt) <= MaxAge {
		return g.shares
	}
	if g.shares != nil { // the leader has just fallen silent
		maps.DeleteFunc(g.shares, func(t Target, _ ByPriority) bool { return t.Holder != "" }) // too few requests of one instance
		g.own.Continue(now, g.shares)
		g.ownShares, g.shares = g.shares, nil
	}
	return g.ownShares
}

// settle passes the counts of the last StepInterval to the Controller of the instance.
func (g *Gate) settle(now time.Time) {
	if now.Before(g.own.stepDue) {
		return
	}
	for id, c := range g.unsettled {
		if !c.sharded {
			g.own.Add(now, Target{Service: id}, c.Counts)
		}
	}
	clear(g.unsettled)
	g.own.Step(now, func(Target) float64 { return 0 })
	g.ownShares = g.own.Shares()
}

// Learn replaces the shares by those from the leader that are age old.
func (g *Gate) Learn(now time.Time, age time.Duration, s Shares) {
	at := now.Add(-age)
	if at.Before(g.learnedAt) {
		return
	}
	g.learnedAt, g.shares = at, maps.Clone(s)
	maps.DeleteFunc(g.credits, func(k creditKey, _ float64) bool { _, short := s[k.target]; return !short })
	clear(g.own.seeds)
}

// Shares returns the shares in force, and whether they are from a leader.
func (g *Gate) Shares(now time.Time) (s Shares, fromLeader bool) {
	s = g.sharesAt(now)
	return s, now.Sub(g.learnedAt) <= MaxAge
}

// Report returns the counts since the last report, and resets them.
func (g *Gate) Report(now time.Time) Report {
	r := Report{For: now.Sub(g.reportedAt), Services: make(map[fleet.ServiceID]Counts), Holders: make(map[Target]ByPriority)}
	for id, c := range g.services {
		r.Services[id] = *c
	}
	for t, h := range g.holders {
		r.Holders[t] = *h
	}
	clear(g.services)
	clear(g.holders)
	g.reportedAt = now
	return r
}
