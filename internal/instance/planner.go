package instance

import (
	"context"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	planInterval = 50 * time.Millisecond
	// pinWindow is the period over which the number of pins of a service is limited.
	pinWindow = 10 * time.Second
)

// runPlanner updates the assignment periodically while this instance is the
// planner.
func (n *Instance) runPlanner(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := n.updateAssignment(ctx); err != nil {
			n.log.Debug("assignment not updated", "error", err)
		}
	}
}

// updateAssignment computes the next assignment and writes it to the store if it
// differs from the current one.
func (n *Instance) updateAssignment(ctx context.Context) error {
	now := time.Now()
	in, rev, ok := n.planInput(now)
	if !ok {
		return nil
	}
	next, moves, changed := assignment.Plan(now, in)
	if !changed {
		return nil
	}
	value := next.Encode()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	n.metrics.StoreCall("swap")
	written, err := n.store.Swap(ctx, platform.KeyAssignment, rev, value, string(n.self.ID), now)
	if err != nil {
		n.refreshNow()
		return errors.Wrap(err, "write assignment")
	}
	now = time.Now()
	if err := n.applyRecords(now, peer.RecordsAnswer{AssignmentRevision: written, Assignment: value}); err != nil {
		return err
	}
	n.recordMoves(now, moves)
	n.refreshNow()
	return nil
}

// planInput collects the input of assignment.Plan. It returns false if this
// instance should not plan now.
func (n *Instance) planInput(now time.Time) (assignment.Input, fleet.Revision, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hasAuthority(now) || now.Sub(n.storeAnswered) > n.cfg.AuthorityTTL {
		return assignment.Input{}, 0, false
	}
	if !n.members.shouldPlan(now, n.started) {
		return assignment.Input{}, 0, false
	}
	s := n.snapshot()
	in := assignment.Input{
		Current: s.assignment, Catalogue: s.catalogue, Listed: n.platformList,
		Learned: len(s.assignment.Members) == 0 || n.authority.Learned(s.known),
		Lost:    n.members.lost(now), Leaving: n.members.leaving(now), Joining: n.members.joining(now),
		Reports: n.upstreamReports(now), RecentPins: n.recentPins(now), LastSwap: maps.Clone(n.lastSwaps),
	}
	if n.phase == peer.Draining {
		in.Leaving = append(in.Leaving, n.self.ID)
	} else if n.members.boots[n.self.ID] != n.self.Boot {
		in.Joining = append(in.Joining, n.self)
	}
	return in, s.known.Assignment, true
}

// upstreamReports returns the latest report on each upstream from its dispatcher.
// The caller holds mu.
func (n *Instance) upstreamReports(now time.Time) map[fleet.UpstreamID]assignment.Report {
	s := n.snapshot()
	out := make(map[fleet.UpstreamID]assignment.Report)
	own := n.dispatch.Reports(now)
	for _, u := range s.assignment.Upstreams {
		if u.Dispatcher == n.self.ID {
			if r, ok := own[u.ID]; ok {
				out[u.ID] = r
			}
			continue
		}
		if !n.members.alive(now, u.Dispatcher) {
			continue
		}
		if r, ok := n.members.polls[u.Dispatcher].detailedAnswer.Reports[u.ID]; ok {
			out[u.ID] = r
		}
	}
	return out
}

func (n *Instance) recentPins(now time.Time) map[fleet.ServiceID][]time.Time {
	for service, times := range n.pinTimes {
		for len(times) > 0 && now.Sub(times[0]) > pinWindow {
			times = times[1:]
		}
		n.pinTimes[service] = times
	}
	return maps.Clone(n.pinTimes)
}

// recordMoves records which units moved and why, for explanations, metrics and
// logs.
func (n *Instance) recordMoves(now time.Time, moves []assignment.Move) {
	n.mu.Lock()
	for _, m := range moves {
		if m.Cause == assignment.CausePin {
			n.pinTimes[m.Unit.Service] = append(n.pinTimes[m.Unit.Service], now)
		}
		if m.Cause == assignment.CauseLoad {
			n.lastSwaps[m.Unit.Service] = now
		}
	}
	n.mu.Unlock()
	for _, m := range moves {
		n.metrics.Move(m.Cause)
		n.moves.add(now, m)
	}
	if len(moves) > 0 {
		n.log.Info("assignment changed", "moves", len(moves), "first", moveText(moves[0]))
	}
}

func moveText(m assignment.Move) string {
	text := string(m.Cause)
	if m.Unit.Service != "" {
		text += ": " + m.Unit.String() + " from " + orNone(string(m.From)) + " to " + orNone(string(m.To))
	}
	if m.Detail != "" {
		text += " (" + m.Detail + ")"
	}
	return text
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
