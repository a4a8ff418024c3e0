package direct

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// newRouter returns an instance and the address at which other instances reach it.
func newRouter(t *testing.T, id fleet.InstanceID) (*Router, fleet.Peer) {
	t.Helper()
	r := New(Settings{Instance: id, Quota: QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	s := httptest.NewServer(http.HandlerFunc(r.servePeer))
	t.Cleanup(s.Close)
	return r, fleet.Peer{ID: id, Addr: s.Listener.Addr().String()}
}

// Guards against an instance that never finds the elected leader because the store
// rejects its calls.
func TestLeaderIsFoundThroughPeers(t *testing.T) {
	a, _ := newRouter(t, "a")
	b, addr := newRouter(t, "b")
	a.leader = leaderInfo{id: "old", term: 4}
	a.setInstances([]fleet.Peer{{ID: "a"}, addr, {ID: "old", Addr: "127.0.0.1:1"}})
	for name, c := range map[string]struct {
		known leaderInfo
		want  bool
	}{
		"peer knows no leader":          {leaderInfo{}, false},
		"peer knows a silent leader":    {leaderInfo{id: "c", addr: "1.2.3.4:5", term: 9, heardAt: time.Now().Add(-time.Minute)}, false},
		"peer knows an older leader":    {leaderInfo{id: "c", addr: "1.2.3.4:5", term: 3, heardAt: time.Now()}, false},
		"peer knows the current leader": {leaderInfo{id: "c", addr: "1.2.3.4:5", term: 9, heardAt: time.Now()}, true},
	} {
		b.leader, a.leader = c.known, leaderInfo{id: "old", term: 4}
		if diff := cmp.Diff(c.want, a.findLeaderThroughPeers(t.Context())); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if c.want && (a.leader.id != c.known.id || a.leader.addr != c.known.addr || a.leader.term != c.known.term) {
			t.Errorf("%s: follows %+v", name, a.leader)
		}
	}
}

// Guards against a small limit that each instance of a large fleet counts on its own,
// and against requests that are all refused, or admitted without bound, when the
// account's home is unavailable.
func TestHomeCountsForAll(t *testing.T) {
	account := routes.Account{ID: "small", Limit: fleet.Limit{Rate: 1, Burst: 10}}
	table := routes.NewTable(1, nil, []routes.Account{account}, nil, nil)
	var routers []*Router
	var peers []fleet.Peer
	servers := make(map[fleet.InstanceID]*Router)
	for i := range 4 {
		r, p := newRouter(t, fleet.InstanceID(fmt.Sprint("i", i)))
		r.operatorState.Store(&OperatorState{Table: table})
		routers, peers = append(routers, r), append(peers, p)
		servers[p.ID] = r
	}
	for _, r := range routers {
		r.setInstances(peers)
		r.accounts.home.Admit(time.Now().Add(-time.Minute), account.ID, account.Limit) // lets a full burst accumulate
	}
	send := func(n int) (admitted int) {
		for i := range n {
			if ok, _ := routers[i%len(routers)].withinLimit(t.Context(), &exchange{account: account, receivedAt: time.Now()}); ok {
				admitted++
			}
		}
		return admitted
	}
	burst := int(account.Limit.Burst) + 5 // plus the part of the tolerated slack that a home uses
	if got := send(100); got < burst || got > burst+3 {
		t.Errorf("all instances admitted %d of 100 simultaneous requests, want %d", got, burst)
	}
	homes := rendezvous(string(account.ID), peers, homesPerKey)
	for _, r := range routers {
		for _, p := range homes {
			r.homeFailedAt[p.ID] = time.Now().Add(time.Hour)
		}
	}
	if got := send(100); got > 1 {
		t.Errorf("without the home, which had just admitted a burst, %d of 100 simultaneous requests were admitted", got)
	}
	if servers[homes[0].ID] == nil || homes[0] == homes[1] {
		t.Errorf("homes of the account: %v", homes)
	}
}

// ownershipStore is a store that contains only an ownership record.
type ownershipStore struct {
	Store
	record keyspace.Record
}

func (s ownershipStore) Get(context.Context, string) (Item, error) {
	return Item{Value: s.record.Encode(), Revision: 1}, nil
}

// Guards against instances that restart together and refuse nearly all requests of an
// account until the leader has sent them the instances, from which its homes follow.
func TestHomesAreKnownAfterRestart(t *testing.T) {
	r, _ := newRouter(t, "i000")
	r.platform.Store = ownershipStore{record: keyspace.Record{Instances: peersNamed(60)}}
	r.loadOwnership(t.Context())
	want := rendezvous("small", peersNamed(60), homesPerKey)
	if diff := cmp.Diff(want, r.accounts.availableHomes(time.Now(), r, "small")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(60, r.instanceCount()); diff != "" {
		t.Error(diff)
	}
}

// Guards against instances that restart together and forward no requests by key until a
// leader is elected, although the grants of the recorded holders are still valid. Also
// guards against sending map changes relative to a recorded map, which other instances
// may not have.
func TestRecordedHoldersServeUntilElection(t *testing.T) {
	r, _ := newRouter(t, "i1")
	r.platform.Store = ownershipStore{record: keyspace.Record{Services: map[fleet.ServiceID][]keyspace.RecordShard{"s": {
		{Span: keyspace.Span{From: 0, To: 99}, Holder: "u1"}, {Span: keyspace.Span{From: 100, To: 65535}, Holder: "u2", Moving: true},
	}}}}
	r.loadOwnership(t.Context())
	m := r.holderMap.Load()
	if m == nil {
		t.Fatal("no holder map after loading the ownership record")
	}
	if diff := cmp.Diff([]fleet.UpstreamID{"u1", ""}, []fleet.UpstreamID{m.Holder("s", 7), m.Holder("s", 100)}); diff != "" {
		t.Error(diff)
	}
	r.setHolderMap(&keyspace.Map{Version: keyspace.MapVersion{Term: 1, Seq: 1}})
	if len(r.recentMaps) > 0 {
		t.Error("recorded map is kept as a base for changes")
	}
	r.loadOwnership(t.Context())
	if diff := cmp.Diff(fleet.Revision(1), r.holderMap.Load().Version.Term); diff != "" {
		t.Error("the recorded map replaced the leader's map:", diff)
	}
}

// Guards against refusing requests at an instance that is about to receive its first
// configuration, and against requests that wait for it without a limit.
func TestRequestAwaitsConfiguration(t *testing.T) {
	r, _ := newRouter(t, "i1")
	if r.awaitConfiguration(t.Context()) {
		t.Error("reported a configuration although there is none")
	}
	done := make(chan bool)
	go func() { done <- r.awaitConfiguration(t.Context()) }()
	r.setOperatorState(time.Now(), OperatorState{Table: routes.NewTable(1, nil, nil, nil, nil)})
	if !<-done {
		t.Error("the request did not wait for the configuration")
	}
}
