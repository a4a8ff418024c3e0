package instance

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	keyPrefix     = "parsley/"
	storeInterval = 250 * time.Millisecond
	// storeTimeout leaves room for two attempts within the authority TTL.
	storeTimeout = 400 * time.Millisecond
)

// snapshot is what an instance knows of the durable state. It is replaced as a
// whole and never changed.
type snapshot struct {
	known         authority.Known
	catalogue     *catalogue.Catalogue
	catalogueRaw  []byte
	index         *route.Index
	assignment    *assignment.Assignment
	assignmentRaw []byte
}

func emptySnapshot() *snapshot {
	c := &catalogue.Catalogue{}
	return &snapshot{catalogue: c, index: route.NewIndex(c), assignment: &assignment.Assignment{}}
}

// withCatalogue returns s with a newer catalogue.
func (s *snapshot) withCatalogue(rev fleet.Revision, raw []byte) (*snapshot, error) {
	c, err := catalogue.Parse(platform.KeyCatalogue, raw)
	if err != nil {
		return nil, errors.Wrapf(err, "catalogue at revision %d", rev)
	}
	next := *s
	next.known.Catalogue, next.catalogue, next.catalogueRaw, next.index = rev, c, raw, route.NewIndex(c)
	return &next, nil
}

// withAssignment returns s with a newer assignment.
func (s *snapshot) withAssignment(rev fleet.Revision, raw []byte) (*snapshot, error) {
	a, err := assignment.Decode(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "assignment at revision %d", rev)
	}
	next := *s
	next.known.Assignment, next.assignment, next.assignmentRaw = rev, a, raw
	return &next, nil
}

// upstream returns the row of an upstream.
func (s *snapshot) upstream(id fleet.UpstreamID) (assignment.Upstream, bool) {
	for _, u := range s.assignment.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return assignment.Upstream{}, false
}

// member returns the row of a member.
func (s *snapshot) member(id fleet.InstanceID) (assignment.Member, bool) {
	for _, m := range s.assignment.Members {
		if m.ID == id {
			return m, true
		}
	}
	return assignment.Member{}, false
}

// learn applies records that are newer than what is known and ignores older
// ones, so that knowledge never goes back.
func (n *Instance) learn(now time.Time, m peer.RecordsAnswer) error {
	n.learning.Lock()
	defer n.learning.Unlock()
	s := n.snapshot()
	next := s
	var err error
	if m.CatalogueRevision > s.known.Catalogue {
		if next, err = next.withCatalogue(m.CatalogueRevision, m.Catalogue); err != nil {
			return err
		}
	}
	if m.AssignmentRevision > s.known.Assignment {
		if next, err = next.withAssignment(m.AssignmentRevision, m.Assignment); err != nil {
			return err
		}
	}
	if next != s {
		n.apply(now, s, next)
	}
	return nil
}

// apply makes next the known state and tells every table.
func (n *Instance) apply(now time.Time, old, next *snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.Store(next)
	n.holds(now)
	if next.catalogue != old.catalogue {
		n.applyLimits(now, next)
	}
	if next.assignment != old.assignment {
		n.members.update(now, next.assignment.Members)
		n.homes.learn(now, next)
		n.until = time.Time{}
		n.auth.SetMembers(runs(next.assignment.Members), runs(next.assignment.PreviousMembers))
		n.confirmGone()
	}
	n.auth.Learn(now, next.known)
	n.revisions.learn(now, next.known)
	n.do(n.dispatch.Assign(now, n.duties(now, next)))
	n.retirePools(next)
	n.noteOutage(now, next)
	close(n.changed)
	n.changed = make(chan struct{})
	n.log.Debug("learned", "catalogue", next.known.Catalogue, "assignment", next.known.Assignment)
}

func ids(members []assignment.Member) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.ID
	}
	return out
}

// runs names the processes behind members, as the authority table knows them.
func runs(members []assignment.Member) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.Run()
	}
	return out
}

// readStore reads the records that are newer than the last read.
func (n *Instance) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	n.metrics.StoreCall("changes")
	changes, err := n.store.Changes(ctx, keyPrefix, n.storeRead, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	if err := n.learn(now, recordsOf(changes)); err != nil {
		return err
	}
	n.storeRead = changes.Revision
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holds(now)
	n.storeAnswered = now
	n.auth.StoreAnswered(sent, n.auth.Known())
	return nil
}

func recordsOf(changes platform.Changes) peer.RecordsAnswer {
	var m peer.RecordsAnswer
	for _, r := range changes.Records {
		switch r.Key {
		case platform.KeyCatalogue:
			m.CatalogueRevision, m.Catalogue = r.Revision, r.Value
		case platform.KeyAssignment:
			m.AssignmentRevision, m.Assignment = r.Revision, r.Value
		}
	}
	return m
}

// runStore reads the store at a fixed interval, and at once when poked.
func (n *Instance) runStore(ctx context.Context) error {
	tick := time.NewTicker(storeInterval)
	defer tick.Stop()
	healthy := true
	for {
		err := n.readStore(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if ok := err == nil; ok != healthy {
			healthy = ok
			n.event(time.Now(), "store", storeDetail(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-n.pokeStore:
		}
	}
}

func storeDetail(err error) string {
	if err == nil {
		return "the store answers again"
	}
	return "the store does not answer: " + err.Error()
}

// fetch takes newer records from a peer.
func (n *Instance) fetch(ctx context.Context, addr string) {
	if !n.fetching.TryLock() {
		return
	}
	defer n.fetching.Unlock()
	m, err := n.peers.Records(ctx, addr, peer.RecordsRequest{Known: n.snapshot().known})
	if err != nil {
		n.log.Debug("records not fetched", "peer", addr, "error", err)
		return
	}
	if err := n.learn(time.Now(), m); err != nil {
		n.log.Error("records refused", "peer", addr, "error", err)
	}
}
