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

// newRouter returns an instance that others reach at its second result.
func newRouter(t *testing.T, id fleet.InstanceID) (*Router, fleet.Peer) {
	t.Helper()
	r := New(Settings{Instance: id, Quota: QuotaTolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	s := httptest.NewServer(http.HandlerFunc(r.servePeer))
	t.Cleanup(s.Close)
	return r, fleet.Peer{ID: id, Addr: s.Listener.Addr().String()}
}

// Guards against an instance that the store turns away and that never finds the
// leader which the others have elected.
func TestLeaderIsToldByPeers(t *testing.T) {
	a, _ := newRouter(t, "a")
	b, addr := newRouter(t, "b")
	a.leader = leaderInfo{id: "old", term: 4}
	a.setInstances([]fleet.Peer{{ID: "a"}, addr, {ID: "old", Addr: "127.0.0.1:1"}})
	for name, c := range map[string]struct {
		told leaderInfo
		want bool
	}{
		"knows none":        {leaderInfo{}, false},
		"knows a silent":    {leaderInfo{id: "c", addr: "1.2.3.4:5", term: 9, heard: time.Now().Add(-time.Minute)}, false},
		"knows an older":    {leaderInfo{id: "c", addr: "1.2.3.4:5", term: 3, heard: time.Now()}, false},
		"knows the present": {leaderInfo{id: "c", addr: "1.2.3.4:5", term: 9, heard: time.Now()}, true},
	} {
		b.leader, a.leader = c.told, leaderInfo{id: "old", term: 4}
		if diff := cmp.Diff(c.want, a.askPeers(t.Context())); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if c.want && (a.leader.id != c.told.id || a.leader.addr != c.told.addr || a.leader.term != c.told.term) {
			t.Errorf("%s: follows %+v", name, a.leader)
		}
	}
}

// Guards against a small limit that every instance of a large fleet counts by
// itself, and against requests that are refused or admitted without bound when its
// home is gone.
func TestHomeCountsForAll(t *testing.T) {
	account := routes.Account{ID: "small", Limit: fleet.Limit{Rate: 1, Burst: 10}}
	table := routes.NewTable(1, nil, []routes.Account{account}, nil, nil)
	var all []*Router
	var peers []fleet.Peer
	servers := make(map[fleet.InstanceID]*Router)
	for i := range 4 {
		r, p := newRouter(t, fleet.InstanceID(fmt.Sprint("i", i)))
		r.operator.Store(&Operator{Table: table})
		all, peers = append(all, r), append(peers, p)
		servers[p.ID] = r
	}
	for _, r := range all {
		r.setInstances(peers)
		r.home.Admit(time.Now().Add(-time.Minute), account.ID, account.Limit) // a full burst since
	}
	send := func(n int) (admitted int) {
		for i := range n {
			if ok, _ := all[i%len(all)].withinLimit(t.Context(), &exchange{account: account, began: time.Now()}); ok {
				admitted++
			}
		}
		return admitted
	}
	burst := int(account.Limit.Burst) + 5 // and the part of the tolerated requests that is used
	if got := send(100); got < burst || got > burst+3 {
		t.Errorf("%d of 100 at once were admitted by all instances, want %d", got, burst)
	}
	homes := rendezvous(account.ID, peers, homesTried)
	for _, r := range all {
		for _, p := range homes {
			r.homesDown[p.ID] = time.Now().Add(time.Hour)
		}
	}
	if got := send(100); got > 1 {
		t.Errorf("%d of 100 at once were admitted without the home that has just admitted a burst", got)
	}
	if servers[homes[0].ID] == nil || homes[0] == homes[1] {
		t.Errorf("homes %v", homes)
	}
}

// recordStore is a store that holds the leaders' record alone.
type recordStore struct {
	Store
	record keyspace.Record
}

func (s recordStore) Get(context.Context, string) (Item, error) {
	return Item{Value: s.record.Encode(), Revision: 1}, nil
}

// Guards against instances that start again together and refuse nearly all requests
// of an account until the leader has told who counts them.
func TestHomesAreKnownAfterRestart(t *testing.T) {
	r, _ := newRouter(t, "i000")
	r.out.Store = recordStore{record: keyspace.Record{Instances: peersNamed(60)}}
	r.recall(t.Context())
	want := rendezvous("small", peersNamed(60), homesTried)
	if diff := cmp.Diff(want, r.homesOf(time.Now(), "small")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(60, r.instanceCount()); diff != "" {
		t.Error(diff)
	}
}

// Guards against instances that start again together and serve no keys until a
// leader is elected, although their holders have been granted them for longer; and
// against a recorded map that changes are told against.
func TestRecordedHoldersServe(t *testing.T) {
	r, _ := newRouter(t, "i1")
	r.out.Store = recordStore{record: keyspace.Record{Services: map[fleet.ServiceID][]keyspace.RecordPiece{"s": {
		{Span: keyspace.Span{From: 0, To: 99}, Holder: "u1"}, {Span: keyspace.Span{From: 100, To: 65535}, Holder: "u2", Moving: true},
	}}}}
	r.recall(t.Context())
	m := r.keys.Load()
	if m == nil {
		t.Fatal("no map")
	}
	if diff := cmp.Diff([]fleet.UpstreamID{"u1", ""}, []fleet.UpstreamID{m.Holder("s", 7), m.Holder("s", 100)}); diff != "" {
		t.Error(diff)
	}
	r.setKeys(&keyspace.Map{Version: keyspace.MapVersion{Term: 1, Seq: 1}})
	if len(r.keysSent) > 0 {
		t.Error("changes are told against a recorded map")
	}
	r.recall(t.Context())
	if diff := cmp.Diff(uint64(1), r.keys.Load().Version.Term); diff != "" {
		t.Error("the recorded map replaced the leader's:", diff)
	}
}

// Guards against requests that are refused by an instance that will know its
// configuration a moment later, and against ones that wait without end.
func TestRequestAwaitsConfiguration(t *testing.T) {
	r, _ := newRouter(t, "i1")
	if r.awaitConfiguration(t.Context()) {
		t.Error("there is no configuration")
	}
	done := make(chan bool)
	go func() { done <- r.awaitConfiguration(t.Context()) }()
	r.setOperator(time.Now(), Operator{Table: routes.NewTable(1, nil, nil, nil, nil)})
	if !<-done {
		t.Error("the request did not wait")
	}
}
