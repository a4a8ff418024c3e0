package direct

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func operatorState(era fleet.Era, number uint64, version routes.Version, evacuated ...fleet.ZoneID) OperatorState {
	op := OperatorState{Table: routes.NewTable(version, nil, nil, nil, nil), Revision: fleet.NewRevision(era, number), Evacuated: make(map[fleet.ZoneID]bool)}
	for _, zone := range evacuated {
		op.Evacuated[zone] = true
	}
	return op
}

// Guards against an instance that ignores all changes by operators after the store was
// restored, because its revisions are lower than before, and against one that goes back
// to the older configuration of the copy.
func TestOperatorStateAfterRestoration(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	for _, step := range []struct {
		what  string
		state OperatorState
		want  string
	}{
		{"before the restoration", operatorState(1, 90, 7), "7 []"},
		{"the copy has an older configuration", operatorState(2, 40, 5), "7 []"},
		{"the next configuration has a lower number", operatorState(2, 44, 8), "8 []"},
		{"a newer configuration arrives late, of the earlier era", operatorState(1, 95, 9), "9 []"},
		{"an older state of the earlier era", operatorState(1, 95, 6, "z"), "9 []"},
		{"an evacuation", operatorState(2, 50, 9, "z"), "9 [z]"},
	} {
		r.setOperatorState(now, step.state)
		if diff := cmp.Diff(step.want, r.operatorState.Load().Tag()); diff != "" {
			t.Errorf("%s: %s", step.what, diff)
		}
	}
}

// Guards against evacuations that end because a restored store lacks them, against ended
// ones that begin again because the copy still has them, and against new ones that wait.
func TestEvacuationsAfterRestoration(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	r.noteEra(now, 1)
	r.setOperatorState(now, operatorState(1, 80, 7, "ended"))
	r.setOperatorState(now, operatorState(1, 90, 7, "lost"))
	for _, step := range []struct {
		after  time.Duration
		stored []fleet.ZoneID
		want   string
	}{
		{0, []fleet.ZoneID{"ended"}, "7 [lost]"},
		{time.Second, []fleet.ZoneID{"ended", "new"}, "7 [lost new]"},
		{2 * time.Second, []fleet.ZoneID{"lost", "new"}, "7 [lost new]"},
		{rewriteTime, []fleet.ZoneID{"new"}, "7 [new]"},
	} {
		at := now.Add(step.after)
		r.setOperatorState(at, r.holdEvacuations(at, operatorState(2, 40+uint64(step.after.Seconds()), 7, step.stored...)))
		if diff := cmp.Diff(step.want, r.operatorState.Load().Tag()); diff != "" {
			t.Errorf("%v after the restoration: %s", step.after, diff)
		}
		if got, want := r.evacuationsHeld(at), step.after < rewriteTime; got != want {
			t.Errorf("%v after the restoration: the store's evacuations are held back: %t", step.after, got)
		}
	}
}

// Guards against requests to upstreams that leave or have left, which a restored store
// lists as before, and against dropping upstreams that it lacks until they register again.
func TestUpstreamsAfterRestoration(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	entry := func(id fleet.UpstreamID, boot fleet.BootID, draining bool) balance.Registration {
		return balance.Registration{ID: id, Service: "s", Zone: "z", Boot: boot, Slots: 1, Draining: draining}
	}
	list := func(at time.Time, era fleet.Era, entries ...balance.Registration) {
		r.mu.Lock()
		r.noteEra(at, era)
		r.outageEndedAt = latest(r.outageEndedAt, r.restoredAt)
		r.mu.Unlock()
		r.setUpstreams(at, at, entries)
	}
	usable := func() (ids []fleet.UpstreamID) {
		for _, id := range []fleet.UpstreamID{"stays", "leaves", "gone", "joined"} {
			if r.upstreams.Usable(r.upstreams.Get(id)) {
				ids = append(ids, id)
			}
		}
		return ids
	}
	list(now, 1, entry("stays", "1", false), entry("leaves", "1", false), entry("gone", "1", false))
	list(now.Add(time.Second), 1, entry("stays", "1", false), entry("leaves", "1", true), entry("joined", "1", false))
	restoredAt := now.Add(2 * time.Second)
	list(restoredAt, 2, entry("stays", "1", false), entry("leaves", "1", false), entry("gone", "1", false))
	if diff := cmp.Diff([]fleet.UpstreamID{"stays", "joined"}, usable()); diff != "" {
		t.Error("right after the restoration: ", diff)
	}
	list(restoredAt.Add(reregistrationGrace), 2, entry("stays", "1", false), entry("leaves", "2", false))
	if diff := cmp.Diff([]fleet.UpstreamID{"stays", "leaves"}, usable()); diff != "" {
		t.Error("after a restart of the upstream that left, and without the one that did not register again: ", diff)
	}
}

// Guards against a former run of an upstream that replaces the present one because the
// copy still lists it, and against leaving out a run that has registered again.
func TestRunsAfterRestoration(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	list := func(after time.Duration, era fleet.Era, boots ...fleet.BootID) {
		var entries []balance.Registration
		for i, boot := range boots {
			if boot != "" {
				entries = append(entries, balance.Registration{ID: fleet.UpstreamID(rune('u' + i)), Service: "s", Zone: "z", Boot: boot, Slots: 1})
			}
		}
		at := now.Add(after)
		r.mu.Lock()
		r.noteEra(at, era)
		r.outageEndedAt = latest(r.outageEndedAt, r.restoredAt)
		r.mu.Unlock()
		r.setUpstreams(at, at, entries)
	}
	list(0, 1, "1", "1")
	list(time.Second, 1, "2", "")
	list(2*time.Second, 1, "2", "1")
	list(3*time.Second, 2, "1", "1")
	for id, want := range map[fleet.UpstreamID]fleet.BootID{"u": "2", "v": "1"} {
		if e := r.upstreams.Get(id); e == nil || e.Boot != want {
			t.Errorf("upstream %s: entry %+v, want run %s", id, e, want)
		}
	}
}

// Guards against an instance that learns of a restoration from the leader, and later takes
// what it reads from the store as complete.
func TestRestorationLearnedFromLeader(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	r.noteEra(now, 1)
	r.setOperatorState(now, operatorState(1, 90, 7, "lost"))
	r.mu.Lock()
	r.upstreams.Replace(now.Add(-time.Minute/2), []balance.Registration{{ID: "gone", Boot: "1", Service: "s", Slots: 1}})
	r.upstreams.Replace(now.Add(-time.Second), nil)
	r.mu.Unlock()
	r.applyReply(now, now, report{}, reply{Term: fleet.NewRevision(2, 40)})
	at := now.Add(time.Second)
	if held := r.holdEvacuations(at, operatorState(2, 41, 7)); !held.Evacuated["lost"] {
		t.Error("the evacuation that the restored store lacks has ended")
	}
	r.setUpstreams(at, at, []balance.Registration{{ID: "gone", Boot: "1", Service: "s", Slots: 1}})
	if r.upstreams.Get("gone") != nil {
		t.Error("the upstream that has left came back")
	}
}

// leaderKeyStore is a store that contains only a leader key.
type leaderKeyStore struct {
	Store
	item Item
}

func (s leaderKeyStore) Get(context.Context, string) (Item, error) { return s.item, nil }

// Guards against an instance that follows a leader whose election is void because the
// store was restored from a copy: another leader may have been elected since the copy.
func TestElectionOfEarlierEraIsVoid(t *testing.T) {
	r, _ := newRouter(t, "a")
	for value, want := range map[string]bool{"b 10.0.0.1:1 90/1": false, "b 10.0.0.1:1 90/2": true, "b 10.0.0.1:1 90": true} {
		r.platform.Store = leaderKeyStore{item: Item{Value: []byte(value), Revision: fleet.NewRevision(2, 40)}}
		info, revision, err := r.readLeader(t.Context())
		if (err == nil) != want || want && info.term != revision || revision != fleet.NewRevision(2, 40) {
			t.Errorf("leader key %q: leader %+v at revision %d, error %v", value, info, revision, err)
		}
	}
}

// Guards against a leader that has been suspended, and succeeded by another one, but has
// itself elected again with what it knew when the store is restored.
func TestReelectionNeedsFollowers(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		reporting int // of 5 instances, besides the leader
		after     time.Duration
		wantTry   bool
		wantLead  bool
	}{
		"held-up reports":    {reporting: 0, wantLead: true},
		"a minority reports": {reporting: 2, wantLead: true},
		"a majority reports": {reporting: 3, wantLead: true, wantTry: true},
		"nobody in time":     {reporting: 0, after: reelectionTimeout + 1},
	} {
		r, _ := newRouter(t, "a")
		r.platform.Store = leaderKeyStore{item: Item{Value: []byte("b 10.0.0.1:1 1/2"), Revision: fleet.NewRevision(2, 40)}}
		l := &leadership{
			term: fleet.NewRevision(1, 90), members: map[fleet.InstanceID]member{"a": {heardAt: now}},
			elections: make(chan electionResult, 1), coordinator: keyspace.NewCoordinator(now, fleet.NewRevision(1, 90), keyspace.Timing{}, keyspace.Record{Era: 1}),
		}
		r.noteRestored(l)
		l.restoredAt -= c.after
		for i := range 5 {
			rep := report{Instance: fleet.InstanceID(rune('b' + i))} // as sent before the restoration
			if i < c.reporting {
				rep.Restorations = r.reply(l, rep).Restorations
			}
			r.applyReport(now, l, rep)
		}
		lead := r.seekReelection(t.Context(), now, l)
		if lead != c.wantLead || l.electing != c.wantTry {
			t.Errorf("%s: leads on %t, tries to be elected %t", name, lead, l.electing)
		}
		if l.electing && r.handleElection(now, l, <-l.elections) {
			t.Errorf("%s: leads on although another instance was elected", name)
		}
	}
}

// Guards against a leader that has lost all other instances and becomes its own majority
// when they are removed for their silence.
func TestLeaderWithoutLeaseKeepsMembers(t *testing.T) {
	now := time.Now()
	for _, leaseValid := range []bool{true, false} {
		r, _ := newRouter(t, "a")
		l := &leadership{
			members:     map[fleet.InstanceID]member{"a": {heardAt: now}, "b": {heardAt: now.Add(-2 * memberTimeout)}, "c": {heardAt: now.Add(-2 * memberTimeout)}},
			coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{}),
		}
		r.updateMembers(now, l, leaseValid)
		if got := len(l.members); (got == 1) != leaseValid {
			t.Errorf("lease valid %t: %d members", leaseValid, got)
		}
	}
}

// Guards against a leader that ends because of the late result of a renewal of the lease
// that it had before it was elected again.
func TestRenewalOfFormerLeaseIsIgnored(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	l := &leadership{
		term: fleet.NewRevision(2, 40), lease: Lease{Era: 2, ID: 9}, validUntil: bootClock() + time.Minute, renewDue: now.Add(time.Minute),
		members: make(map[fleet.InstanceID]member), planDue: now.Add(time.Minute), publishDue: now.Add(time.Minute), stop: make(chan struct{}),
		renewResults: make(chan renewResult, 1), coordinator: keyspace.NewCoordinator(now, fleet.NewRevision(2, 40), keyspace.Timing{}, keyspace.Record{Era: 2}),
	}
	l.renewResults <- renewResult{lease: Lease{Era: 1, ID: 7}, err: ErrLeaseEnded}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { r.lead(ctx, l); close(ended) }()
	for len(l.renewResults) > 0 {
		sleep(t.Context(), time.Millisecond)
	}
	select {
	case <-ended:
		t.Error("the leadership ended")
	case <-time.After(4 * leaderTick):
	}
	cancel()
	<-ended
}

// Guards against a fleet that counts as started for the first time although the record of
// an earlier era is lost, so that its leader would not wait for unknown grants.
func TestFirstElection(t *testing.T) {
	for name, c := range map[string]struct {
		firstStart bool
		eras       []fleet.Era // of the leaders that the instance knew
		want       bool
	}{
		"first leader":                      {true, nil, true},
		"leader before, not restored":       {true, []fleet.Era{2}, true},
		"leader before the restoration":     {true, []fleet.Era{1}, false},
		"leaders before and since":          {true, []fleet.Era{1, 2}, false},
		"instance that was started later":   {false, nil, false},
		"the same, with a leader of before": {false, []fleet.Era{2}, false},
	} {
		r, _ := newRouter(t, "a")
		r.cfg.FirstStart = c.firstStart
		for _, era := range c.eras {
			r.setLeader(leaderInfo{id: "b", term: fleet.NewRevision(era, 5), heardAt: time.Now()})
		}
		if got := r.isFirstElection(fleet.NewRevision(2, 40)); got != c.want {
			t.Errorf("%s: %t, want %t", name, got, c.want)
		}
	}
}

// Guards against a new leader that sends the former leader's map as one of its own term:
// its first maps would be older than that, and be ignored.
func TestMapOfFormerTermIsNotSent(t *testing.T) {
	r, _ := newRouter(t, "a")
	r.setHolderMap(&keyspace.Map{Version: keyspace.MapVersion{Term: 4, Seq: 500}})
	l := &leadership{term: 5}
	rep := report{MapVersion: keyspace.MapVersion{Term: 4, Seq: 2}}
	if rp := r.reply(l, rep); rp.MapVersion.Seq != 0 || rp.WholeMap {
		t.Errorf("reply with map %v, whole %t", rp.MapVersion, rp.WholeMap)
	}
	r.setHolderMap(&keyspace.Map{Version: keyspace.MapVersion{Term: 5, Seq: 1}})
	if rp := r.reply(l, rep); rp.MapVersion.Seq != 1 {
		t.Errorf("reply with map %v, want that of the leader's term", rp.MapVersion)
	}
}
