package direct

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against messages that are read back as others.
func TestReportRoundTrip(t *testing.T) {
	rep := report{
		Instance: "i1", Addr: "1.2.3.4:6", Version: keyspace.MapVersion{Term: 3, Seq: 9},
		Keys:     map[fleet.ServiceID][]keyspace.Key{"s": {1, 65535}},
		Demand:   map[fleet.AccountID]float64{"a": 12.5},
		Speeds:   map[fleet.UpstreamID]balance.Samples{"u": {N: 2, Sum: 0.25, Queued: 3, Lost: 1}},
		StoreAge: 1200 * time.Millisecond, Instances: 10, ListTerm: 3, ListSeq: 7, OperatorSeq: 2, Operator: "5 [z]",
	}
	got, err := decodeReport(rep.encode())
	if diff := cmp.Diff(rep, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := decodeReport([]byte(`{"instance":""}`)); err == nil {
		t.Error("a report of nobody was accepted")
	}
	rp := reply{
		Term: 3, Version: keyspace.MapVersion{Term: 3, Seq: 10}, Whole: true,
		Held: map[fleet.ServiceID][]keyspace.Held{"s": {
			{Span: keyspace.Span{From: 0, To: 9}, Holder: "u"}, {Span: keyspace.Span{From: 10, To: 65535}},
		}},
		Instances: []fleet.Peer{{ID: "i1", Addr: "1.2.3.4:6"}}, Demand: map[fleet.AccountID]float64{"a": 3},
		Operator: "5 [z]", OperatorSeq: 4, OperatorAge: 20 * time.Millisecond,
		Source: []byte("{\"version\":\"5\"}\n"), Evacuated: []fleet.ZoneID{"z"}, OperatorRevision: 70,
		List: listDelta{Seq: 8, Age: 30 * time.Millisecond, Removed: []fleet.UpstreamID{"v"}, Changed: []balance.Registration{
			{ID: "u", Service: "s", Zone: "z", Addr: "1.2.3.4:5", Boot: "1", Slots: 6, Draining: true, ColdLeft: time.Second},
		}},
	}
	gotReply, err := decodeReply(rp.encode())
	if diff := cmp.Diff(rp, gotReply); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// Guards against a copy of the leader's list that differs from it, also after a
// change of the leader.
func TestListDelta(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	up := func(id fleet.UpstreamID, draining bool) balance.Registration {
		return balance.Registration{ID: id, Service: "s", Zone: "z", Addr: "1.2.3.4:5", Slots: 6, Boot: "1", Draining: draining}
	}
	lists := [][]balance.Registration{
		{up("a", false), up("b", false)}, {up("a", true), up("b", false)}, {up("b", false), up("c", false)}, {up("b", false)},
	}
	shared, followed := newSharedList(), followedList{}
	for i, list := range lists {
		if !shared.update(now, list) {
			t.Errorf("list %d: no change was seen", i)
		}
		if shared.update(now, list) {
			t.Errorf("list %d: a change was seen twice", i)
		}
		got := make(map[fleet.UpstreamID]balance.Registration)
		for _, r := range followed.apply(1, shared.since(now, followed.seq)) {
			got[r.ID] = r
		}
		want := make(map[fleet.UpstreamID]balance.Registration)
		for _, r := range list {
			want[r.ID] = r
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("list %d: %s", i, diff)
		}
	}
	next := newSharedList()
	next.update(now, lists[0])
	if got := followed.apply(2, next.since(now, 0)); len(got) != 2 {
		t.Errorf("after a change of the leader: %v", got)
	}
}

// Guards against a leader that goes on without the store although others reach it,
// and against one that gives up its grants while nobody does.
func TestStoreAway(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := &Router{cfg: Settings{Instance: "leader"}, storeSeen: now.Add(-2 * time.Second)}
	tests := map[string]struct {
		ages  []time.Duration // since the others have reached the store
		heard time.Duration   // since their reports
		want  bool
	}{
		"nobody reaches it":       {[]time.Duration{3 * time.Second, 2500 * time.Millisecond}, 0, true},
		"one reaches it":          {[]time.Duration{3 * time.Second, 100 * time.Millisecond}, 0, false},
		"the others are silent":   {[]time.Duration{3 * time.Second, 3 * time.Second}, 2 * time.Second, false},
		"the others do not ask":   {[]time.Duration{time.Hour, time.Hour}, 0, true},
		"one reached it at last ": {[]time.Duration{2 * time.Second, 2 * time.Second}, 0, true},
	}
	for name, test := range tests {
		l := &leadership{members: map[fleet.InstanceID]member{"leader": {heard: now}}}
		for i, age := range test.ages {
			l.members[fleet.InstanceID(rune('a'+i))] = member{heard: now.Add(-test.heard), storeAge: age}
		}
		if diff := cmp.Diff(test.want, r.storeAway(now, l)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against instances that start again together and each take a larger part of
// the limits than theirs, since few have found the new leader.
func TestFleetSizeOutlastsRestart(t *testing.T) {
	for name, c := range map[string]struct {
		known, recorded int
		led             time.Duration
		want            int
	}{
		"others have not reported yet": {3, 70, time.Second, 70},
		"instances joined":             {72, 70, time.Second, 72},
		"instances left":               {40, 70, 6 * time.Second, 40},
		"first start":                  {3, 0, time.Second, 3},
	} {
		got := fleetOf(peersNamed(c.known), peersNamed(c.recorded), c.led)
		if diff := cmp.Diff(peersNamed(c.want), got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	r.setInstances(peersNamed(70)) // as recorded
	r.setInstances(nil)            // the leader knows no others
	if diff := cmp.Diff(70, r.instanceCount()); diff != "" {
		t.Error(diff)
	}
}

// peersNamed returns n instances in the order of their ids.
func peersNamed(n int) []fleet.Peer {
	var peers []fleet.Peer
	for i := range n {
		peers = append(peers, fleet.Peer{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), Addr: "127.0.0.1:1"})
	}
	return peers
}

// Guards against a configuration that every instance reads from the store although
// the leader has it, and against one that an older leader's knowledge reverts.
func TestOperatorIsTold(t *testing.T) {
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	r.out.Configuration = func(source []byte) (*routes.Table, error) {
		v, err := strconv.Atoi(string(source))
		return routes.NewTable(routes.Version(v), nil, nil, nil, nil), err
	}
	now := time.Now()
	for _, step := range []struct {
		told reply
		want string
	}{
		{reply{OperatorRevision: 50, Source: []byte("5")}, "5 []"},
		{reply{OperatorRevision: 60, Evacuated: []fleet.ZoneID{"z"}}, "5 [z]"},
		{reply{OperatorRevision: 55, Source: []byte("4")}, "5 [z]"},
		{reply{OperatorRevision: 70, Source: []byte("7")}, "7 []"},
		{reply{OperatorRevision: 80, Source: []byte("6")}, "7 []"},
		{reply{OperatorRevision: 90, Source: []byte("unreadable")}, "7 []"},
	} {
		r.takeOperator(now, step.told)
		if diff := cmp.Diff(step.want, r.operator.Load().Tag()); diff != "" {
			t.Errorf("revision %d: %s", step.told.OperatorRevision, diff)
		}
	}
	select {
	case <-r.operatorNow:
	default:
		t.Error("what could not be read is not asked of the store")
	}
}

// Guards against demand that is told with every report, though news cut reports short
// several times a second.
func TestDemandIsToldOncePerPace(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	if rep := r.ownReport(now); rep.Demand == nil {
		t.Error("the first report has no demand")
	}
	if rep := r.ownReport(now.Add(reportWait / 2)); rep.Demand != nil {
		t.Errorf("half a pace later: demand %v", rep.Demand)
	}
	if rep := r.ownReport(now.Add(2 * reportWait)); rep.Demand == nil {
		t.Error("two paces later: no demand")
	}
	l := &leadership{members: map[fleet.InstanceID]member{"b": {demand: map[fleet.AccountID]float64{"x": 7}}}, owner: keyspace.NewOwner(now, 1, keyspace.Timing{}, keyspace.Record{})}
	r.takeReport(now, l, report{Instance: "b"})
	r.sumDemand(now, l)
	if diff := cmp.Diff(map[fleet.AccountID]float64{"x": 7}, r.totalDemand); diff != "" {
		t.Error("after a report without demand: ", diff)
	}
}

// Guards against a new leader that tells the demand of the few instances that have
// reported to it as that of all: each of them takes nearly the whole limit for itself.
func TestDemandOfAFewIsNotTold(t *testing.T) {
	now := time.Now()
	r, _ := newRouter(t, "a")
	var all []fleet.Peer
	for i := range 10 {
		all = append(all, fleet.Peer{ID: fleet.InstanceID(fmt.Sprint("i", i))})
	}
	r.setInstances(all)
	l := &leadership{term: 2, began: now, members: make(map[fleet.InstanceID]member), owner: keyspace.NewOwner(now, 1, keyspace.Timing{}, keyspace.Record{})}
	for i, p := range all {
		rep := report{Instance: p.ID, Demand: map[fleet.AccountID]float64{"x": 5}}
		r.takeReport(now, l, rep)
		r.sumDemand(now, l)
		told, want := r.reply(l, rep).Demand["x"], 0.0
		if i >= 8 {
			want = 5 * float64(i+1)
		}
		if told != want {
			t.Errorf("%d of 10 have reported: %v are told, want %v", i+1, told, want)
		}
	}
	if rep := r.ownReport(now); rep.Demand == nil {
		t.Error("the first report has no demand")
	}
	r.setLeader(leaderInfo{id: "c", term: 3})
	if rep := r.ownReport(now); rep.Demand == nil {
		t.Error("the first report to another leader has no demand")
	}
}
