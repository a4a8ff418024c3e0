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
	storeKeyPrefix    = "parsley/"
	storeReadInterval = 250 * time.Millisecond
	// storeReadTimeout allows two attempts within the authority TTL.
	storeReadTimeout = 400 * time.Millisecond
)

// snapshot is the durable state that an instance knows. It is immutable and
// replaced as a whole.
type snapshot struct {
	known         authority.Revisions
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

// withCatalogue returns a copy of s with a newer catalogue.
func (s *snapshot) withCatalogue(rev fleet.Revision, raw []byte) (*snapshot, error) {
	c, err := catalogue.Parse(platform.KeyCatalogue, raw)
	if err != nil {
		return nil, errors.Wrapf(err, "catalogue at revision %d", rev)
	}
	next := *s
	next.known.Catalogue, next.catalogue, next.catalogueRaw, next.index = rev, c, raw, route.NewIndex(c)
	return &next, nil
}

// withAssignment returns a copy of s with a newer assignment.
func (s *snapshot) withAssignment(rev fleet.Revision, raw []byte) (*snapshot, error) {
	a, err := assignment.Decode(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "assignment at revision %d", rev)
	}
	next := *s
	next.known.Assignment, next.assignment, next.assignmentRaw = rev, a, raw
	return &next, nil
}

// upstream looks up an upstream of the assignment.
func (s *snapshot) upstream(id fleet.UpstreamID) (assignment.Upstream, bool) {
	for _, u := range s.assignment.Upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return assignment.Upstream{}, false
}

// member looks up a member of the assignment.
func (s *snapshot) member(id fleet.InstanceID) (assignment.Member, bool) {
	for _, m := range s.assignment.Members {
		if m.ID == id {
			return m, true
		}
	}
	return assignment.Member{}, false
}

// applyRecords applies the records that are newer than the snapshot and ignores
// older ones, so that the known revisions never decrease.
func (n *Instance) applyRecords(now time.Time, m peer.RecordsAnswer) error {
	n.snapshotUpdate.Lock()
	defer n.snapshotUpdate.Unlock()
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
		n.replaceSnapshot(now, s, next)
	}
	return nil
}

// replaceSnapshot makes next the current snapshot and updates all tables.
func (n *Instance) replaceSnapshot(now time.Time, old, next *snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current.Store(next)
	n.hasAuthority(now)
	if next.catalogue != old.catalogue {
		n.applyLimitChanges(next)
	}
	if next.assignment != old.assignment {
		n.members.update(now, next.assignment.Members)
		n.homes.addAssignment(now, next)
		n.cachedAuthorityEnd = time.Time{}
		n.authority.SetMembers(runIDs(next.assignment.Members), runIDs(next.assignment.PreviousMembers))
		n.confirmEnded()
	}
	n.authority.Learn(now, next.known)
	n.revisions.add(now, next.known)
	n.execute(n.dispatch.Assign(now, n.duties(now, next)))
	n.closeUnusedConnections(next)
	n.updateOutOfService(now, next)
	close(n.snapshotChanged)
	n.snapshotChanged = make(chan struct{})
	n.log.Debug("learned", "catalogue", next.known.Catalogue, "assignment", next.known.Assignment)
}

func memberIDs(members []assignment.Member) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.ID
	}
	return out
}

// runIDs returns the ids under which the authority table knows the members. They
// include the boot id.
func runIDs(members []assignment.Member) []fleet.InstanceID {
	out := make([]fleet.InstanceID, len(members))
	for i, m := range members {
		out[i] = m.RunID()
	}
	return out
}

// readStore reads and applies the records written since the last read.
func (n *Instance) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	sent := time.Now()
	n.metrics.StoreCall("changes")
	changes, err := n.store.Changes(ctx, storeKeyPrefix, n.storeRevision, 0)
	if err != nil {
		return err
	}
	now := time.Now()
	if err := n.applyRecords(now, recordsFromChanges(changes)); err != nil {
		return err
	}
	n.storeRevision = changes.Revision
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hasAuthority(now)
	n.storeAnswered = now
	n.authority.StoreAnswered(sent, n.authority.Applied())
	return nil
}

func recordsFromChanges(changes platform.Changes) peer.RecordsAnswer {
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

// runStore reads the store periodically, and immediately when triggered.
func (n *Instance) runStore(ctx context.Context) error {
	tick := time.NewTicker(storeReadInterval)
	defer tick.Stop()
	healthy := true
	for {
		err := n.readStore(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if ok := err == nil; ok != healthy {
			healthy = ok
			n.recordEvent(time.Now(), "store", storeEventDetail(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-n.triggerStoreRead:
		}
	}
}

func storeEventDetail(err error) string {
	if err == nil {
		return "the store can be read again"
	}
	return "the store cannot be read: " + err.Error()
}

// fetchRecords gets newer records from a peer. It does nothing if another fetch is
// in progress.
func (n *Instance) fetchRecords(ctx context.Context, addr string) {
	if !n.fetchLock.TryLock() {
		return
	}
	defer n.fetchLock.Unlock()
	m, err := n.peers.Records(ctx, addr, peer.RecordsRequest{Known: n.snapshot().known})
	if err != nil {
		n.log.Debug("records could not be fetched from peer", "peer", addr, "error", err)
		return
	}
	if err := n.applyRecords(time.Now(), m); err != nil {
		n.log.Error("records from peer rejected", "peer", addr, "error", err)
	}
}
