package instance

import (
	"bytes"
	"context"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// maxExplained is the maximum number of moves and of refusals in an explanation.
	maxExplained = 20
	applyTimeout = 3 * time.Second
)

// operatorAPI implements the operator interface on an instance.
type operatorAPI struct{ *Instance }

// Catalogue returns the catalogue that this instance knows and its revision.
func (n operatorAPI) Catalogue(context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	s := n.snapshot()
	return s.catalogue, s.known.Catalogue, nil
}

// Apply writes a new catalogue to the store if the stored one is at revision base.
func (n operatorAPI) Apply(ctx context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	// A write to an unreachable store has an unknown outcome, because its bytes may
	// have arrived. If the read before it fails, nothing was changed for certain.
	n.metrics.StoreCall("changes")
	if _, err := n.store.Changes(ctx, platform.KeyCatalogue, base, 0); err != nil {
		return 0, asOperatorError(err)
	}
	now, value := time.Now(), c.Format()
	n.metrics.StoreCall("swap")
	rev, err := n.store.Swap(ctx, platform.KeyCatalogue, base, value, by, now)
	if err != nil {
		n.refreshNow()
		return 0, asOperatorError(err)
	}
	if err := n.applyRecords(time.Now(), peer.RecordsAnswer{CatalogueRevision: rev, Catalogue: value}); err != nil {
		return 0, err
	}
	n.recordEvent(now, "catalogue", "revision "+formatRevision(rev)+" written by "+by)
	n.refreshNow()
	return rev, nil
}

func asOperatorError(err error) error {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return &operator.ConflictError{Base: conflict.Expected, Current: conflict.Current, By: conflict.By}
	}
	var unknown *platform.UnknownError
	if errors.As(err, &unknown) {
		return &operator.UnknownError{Err: err}
	}
	return &operator.UnavailableError{Err: err}
}

// InForce reports how many members know a catalogue revision, and whether it is
// in force.
func (n operatorAPI) InForce(_ context.Context, rev fleet.Revision) (operator.Progress, error) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	p := operator.Progress{Revision: rev, Members: len(s.assignment.Members)}
	for _, m := range s.assignment.Members {
		if m.ID == n.self.ID {
			if s.known.Catalogue >= rev {
				p.Learned++
			}
			continue
		}
		if v := n.members.polls[m.ID]; v != nil && !v.answeredAt.IsZero() && v.answer.Known.Catalogue >= rev {
			p.Learned++
		}
	}
	p.InForce = s.known.Catalogue >= rev && n.authority.InForce(now, authority.Revisions{Catalogue: rev})
	n.recordInForce(now)
	if at, ok := n.revisions.inForceSince(rev); ok {
		p.Since = at
	}
	return p, nil
}

// Status returns the state of the fleet as this instance knows it.
func (n operatorAPI) Status(context.Context) (operator.Status, error) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	out := operator.Status{
		Instance: n.self.ID, Zone: n.self.Zone, Boot: n.self.Boot, Now: now,
		AuthorityUntil: n.authority.Until(), StoreAnswered: n.storeAnswered,
		CatalogueRevision: s.known.Catalogue, AssignmentRevision: s.known.Assignment,
		OutOfService: s.catalogue.OutOfService,
	}
	for _, m := range s.assignment.Members {
		heard := now
		if m.ID != n.self.ID {
			heard = n.members.polls[m.ID].answeredAt
		}
		if out.Planner == "" && (m.ID == n.self.ID || n.members.alive(now, m.ID)) {
			out.Planner = m.ID
		}
		out.Members = append(out.Members, operator.MemberStatus{ID: m.ID, Zone: m.Zone, Address: m.Address, LastAnswer: heard})
	}
	reports := n.upstreamReports(now)
	for _, u := range s.assignment.Upstreams {
		row := operator.UpstreamStatus{ID: u.ID, Service: u.Service, Zone: u.Zone, Dispatcher: u.Dispatcher, State: string(u.State)}
		if r, ok := reports[u.ID]; ok {
			row.Known, row.Limit, row.Slots, row.InFlight, row.Queued = true, r.Limit, r.Slots, r.InFlight, r.Queued
		}
		out.Upstreams = append(out.Upstreams, row)
	}
	return out, nil
}

// Explain answers a query from the histories of this instance and all other
// members.
func (n operatorAPI) Explain(ctx context.Context, q operator.Query) (operator.Explanation, error) {
	out := n.explainLocal(q)
	s := n.snapshot()
	request := peer.ExplainRequest{Query: []byte(operator.QueryValues(q).Encode())}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range s.assignment.Members {
		if m.ID == n.self.ID {
			continue
		}
		wg.Go(func() {
			x, err := n.explainRemote(ctx, m, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Missing = append(out.Missing, m.ID)
				return
			}
			out.Answered = append(out.Answered, m.ID)
			out.Moves = append(out.Moves, x.Moves...)
			out.Refusals = append(out.Refusals, x.Refusals...)
		})
	}
	wg.Wait()
	slices.Sort(out.Answered)
	slices.Sort(out.Missing)
	slices.SortStableFunc(out.Moves, func(a, b operator.Move) int { return b.At.Compare(a.At) })
	slices.SortStableFunc(out.Refusals, func(a, b operator.RefusedRequest) int { return b.At.Compare(a.At) })
	out.Moves = out.Moves[:min(len(out.Moves), maxExplained)]
	out.Refusals = out.Refusals[:min(len(out.Refusals), maxExplained)]
	if out.Owner != nil {
		for _, m := range out.Moves {
			if m.Fence == out.Owner.Fence {
				out.Owner.Since = m.At
			}
		}
	}
	return out, nil
}

func (n *Instance) explainRemote(ctx context.Context, m assignment.Member, q peer.ExplainRequest) (operator.Explanation, error) {
	var x operator.Explanation
	a, err := n.peers.Explain(ctx, m.Address, q)
	if err != nil {
		return x, err
	}
	return x, x.Decode(jx.DecodeBytes(a.Explanation))
}

// Explain answers a query of another instance from the history of this instance.
func (n *Instance) Explain(_ context.Context, q peer.ExplainRequest) peer.ExplainAnswer {
	values, err := url.ParseQuery(string(q.Query))
	if err != nil {
		return peer.ExplainAnswer{}
	}
	query, err := operator.ParseQuery(values)
	if err != nil {
		return peer.ExplainAnswer{}
	}
	var e jx.Encoder
	n.explainLocal(query).Encode(&e)
	return peer.ExplainAnswer{Explanation: bytes.Clone(e.Bytes())}
}

func (n *Instance) explainLocal(q operator.Query) operator.Explanation {
	out := operator.Explanation{Answered: []fleet.InstanceID{n.self.ID}}
	switch q := q.(type) {
	case operator.KeyQuery:
		n.explainKey(q, &out)
	case operator.RequestQuery:
		n.explainRefusals(&out, func(r refusedRequest) bool { return r.id == q.ID })
	case operator.AccountQuery:
		n.explainRefusals(&out, func(r refusedRequest) bool { return r.account == q.ID })
	}
	return out
}

func (n *Instance) explainKey(q operator.KeyQuery, out *operator.Explanation) {
	s := n.snapshot()
	service, _ := s.service(q.Service)
	own, ok := s.assignment.Owner(q.Service, q.Key, service.Shards)
	if !ok {
		return
	}
	up, _ := s.upstream(own.Owner)
	out.Owner = &operator.Ownership{Unit: own.Unit, Owner: own.Owner, Fence: own.Fence, Dispatcher: up.Dispatcher, Previous: own.Previous}
	for _, m := range n.moves.newest(maxExplained, func(m assignment.Move) bool { return m.Unit == own.Unit }) {
		out.Moves = append(out.Moves, operator.Move{
			At: m.at, Unit: m.item.Unit, From: m.item.From, To: m.item.To, Fence: m.item.Fence,
			Cause: string(m.item.Cause), Detail: m.item.Detail,
		})
	}
	n.explainRefusals(out, func(r refusedRequest) bool { return r.key == q.Key && r.service == q.Service })
}

func (n *Instance) explainRefusals(out *operator.Explanation, match func(refusedRequest) bool) {
	for _, r := range n.refusals.newest(maxExplained, match) {
		out.Refusals = append(out.Refusals, operator.RefusedRequest{
			At: r.at, Instance: n.self.ID, Request: r.item.id, Account: r.item.account, Entry: r.item.entry,
			Key: r.item.key, Reason: r.item.refusal.Reason, Detail: r.item.refusal.Detail,
		})
	}
}

func formatRevision(r fleet.Revision) string { return strconv.FormatUint(uint64(r), 10) }
