package direct

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against messages that change in encoding and decoding.
func TestReportRoundTrip(t *testing.T) {
	rep := report{
		Instance: "i1", Addr: "1.2.3.4:6", Restorations: 2, MapVersion: keyspace.MapVersion{Term: 3, Seq: 9},
		Keys:   map[fleet.ServiceID][]keyspace.Key{"s": {1, 65535}},
		Demand: map[fleet.AccountID]float64{"a": 12.5}, DemandSeq: 5,
		ServiceTimes: map[fleet.UpstreamID]balance.Samples{"u": {Unqueued: 2, UnqueuedSeconds: 0.25, Queued: 3, Lost: 1}},
		Curves:       map[fleet.UpstreamID]balance.LoadCurve{"u": {Answers: 2, InFlight: 5, InFlightSquares: 13, Seconds: 0.25, SecondsSquares: 0.03125, Products: 0.625}},
		InFlightSeq:  6,
		StoreAge:     1200 * time.Millisecond, InstancesHash: 10, ListTerm: 3, ListSeq: 7, OperatorSeq: 2, OperatorTag: "5 [z]",
		Leaving: []balance.Run{{ID: "u", Boot: "1", Addr: "1.2.3.4:5"}}, LimitSeq: 3,
		Limits: []balance.RunLimit{{Run: balance.Run{ID: "v", Boot: "2", Addr: "1.2.3.4:6"}, Rate: 2.5, Age: time.Second}},
		Admission: admission.Report{
			For:      time.Second,
			Services: map[fleet.ServiceID]admission.Counts{"s": {Requests: admission.ByPriority{0: 2, 3: 1}, Evidence: admission.Evidence{Answered: 2, Queued: 1, Rejected: 1}}},
			Holders:  map[admission.Target]admission.ByPriority{{Service: "s", Holder: "u"}: {0: 2, 3: 1}},
		},
	}
	got, err := decodeReport(rep.encode())
	if diff := cmp.Diff(rep, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := decodeReport([]byte(`{"instance":""}`)); err == nil {
		t.Error("a report without an instance ID was accepted")
	}
	if _, err := decodeReport([]byte(`{"instance":"i1","leaving":[["u","1"]]}`)); err == nil {
		t.Error("a report with a leaving upstream without an address was accepted")
	}
	rp := reply{
		Term: 3, Held: 250 * time.Millisecond, LimitSeq: 4, Limits: []balance.RunLimit{{Run: balance.Run{ID: "v", Boot: "2", Addr: "1.2.3.4:6"}, Age: time.Second}}, Restorations: 1, MapVersion: keyspace.MapVersion{Term: 3, Seq: 10}, WholeMap: true,
		MapSpans: map[fleet.ServiceID][]keyspace.HeldSpan{"s": {
			{Span: keyspace.Span{From: 0, To: 9}, Holder: "u"}, {Span: keyspace.Span{From: 10, To: 65535}},
		}},
		Members: []fleet.Peer{{ID: "i1", Addr: "1.2.3.4:6"}}, Demand: map[fleet.AccountID]float64{"a": 3}, DemandSeq: 4,
		Admission:   admission.Shares{{Service: "s"}: {1, 1, 0.5}, {Service: "s", Holder: "u"}: {0.5}},
		InFlight:    inFlightReply{Limits: []balance.InFlightLimit{{ID: "u", Boot: "1", Limit: 2.5}}, Seq: 9},
		OperatorTag: "5 [z]", OperatorSeq: 4, OperatorAge: 20 * time.Millisecond,
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

// Guards against a replica of the list of upstreams that differs from the leader's
// list, also after a change of leader.
func TestListDelta(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	registration := func(id fleet.UpstreamID, draining bool) balance.Registration {
		return balance.Registration{ID: id, Service: "s", Zone: "z", Addr: "1.2.3.4:5", Slots: 6, Boot: "1", Draining: draining}
	}
	lists := [][]balance.Registration{
		{registration("a", false), registration("b", false)}, {registration("a", true), registration("b", false)}, {registration("b", false), registration("c", false)}, {registration("b", false)},
	}
	source, replica := newLeaderList(), listReplica{}
	for i, list := range lists {
		if !source.update(now, list) {
			t.Errorf("list %d: change not detected", i)
		}
		if source.update(now, list) {
			t.Errorf("list %d: change detected twice", i)
		}
		got := make(map[fleet.UpstreamID]balance.Registration)
		for _, r := range replica.apply(1, source.changesSince(now, replica.seq)) {
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
	next := newLeaderList()
	next.update(now, lists[0])
	if got := replica.apply(2, next.changesSince(now, 0)); len(got) != 2 {
		t.Errorf("after a change of leader: %v, want 2 upstreams", got)
	}
}

// Guards against a leader that continues without the store although other instances
// reach it, and against one that gives up its grants while no instance reaches it.
func TestStoreDownForAll(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := &Router{cfg: Settings{Instance: "leader"}, storeAnsweredAt: now.Add(-2 * time.Second)}
	clock := bootClock()
	tests := map[string]struct {
		ages  []time.Duration // since the other instances last reached the store
		acked time.Duration   // since the replies that they have acknowledged
		want  bool
	}{
		"no instance reaches the store":          {[]time.Duration{3 * time.Second, 2500 * time.Millisecond}, 0, true},
		"one instance reaches the store":         {[]time.Duration{3 * time.Second, 100 * time.Millisecond}, 0, false},
		"other instances do not report":          {[]time.Duration{3 * time.Second, 3 * time.Second}, 2 * time.Second, false},
		"other instances make no store calls":    {[]time.Duration{time.Hour, time.Hour}, 0, true},
		"all reached the store at the same time": {[]time.Duration{2 * time.Second, 2 * time.Second}, 0, true},
	}
	for name, test := range tests {
		l := &leadership{term: 4, validUntil: clock, members: map[fleet.InstanceID]member{"leader": {heardAt: now}}}
		l.support = quorum.NewSupport("leader", quorum.Electorate{Voters: []fleet.InstanceID{"leader", "a", "b"}})
		for i, age := range test.ages {
			id := fleet.InstanceID(rune('a' + i))
			l.members[id] = member{heardAt: now, storeAge: age}
			r.noteSupport(now, l, report{Instance: id, Acknowledged: acknowledgement{Term: 4, SentAt: clock - test.acked}})
		}
		if diff := cmp.Diff(test.want, r.mayLead(clock, l)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Guards against instances that restart together and each use more than their share of
// the limits, because few instances have found the new leader yet.
func TestFleetSizeIsKeptAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		reporting, recorded int
		leadingFor          time.Duration
		want                int
	}{
		"other instances have not reported yet": {3, 70, time.Second, 70},
		"instances joined":                      {72, 70, time.Second, 72},
		"instances left":                        {40, 70, 6 * time.Second, 40},
		"first start":                           {3, 0, time.Second, 3},
	} {
		got := mergeInstances(peersNamed(c.reporting), peersNamed(c.recorded), c.leadingFor)
		if diff := cmp.Diff(peersNamed(c.want), got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	r.setInstances(peersNamed(70)) // from the ownership record
	r.setInstances(nil)            // the leader knows no other instances
	if diff := cmp.Diff(70, r.instanceCount()); diff != "" {
		t.Error(diff)
	}
}

// peersNamed returns n instances, ordered by ID.
func peersNamed(n int) []fleet.Peer {
	var peers []fleet.Peer
	for i := range n {
		peers = append(peers, fleet.Peer{ID: fleet.InstanceID(fmt.Sprintf("i%03d", i)), Addr: "127.0.0.1:1"})
	}
	return peers
}

// Guards against each instance reading the configuration from the store although the
// leader has it, and against an older state of the leader replacing a newer one.
func TestOperatorStateIsTakenFromLeader(t *testing.T) {
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	r.platform.DecodeConfiguration = func(source []byte) (*routes.Table, error) {
		v, err := strconv.Atoi(string(source))
		return routes.NewTable(routes.Version(v), nil, nil, nil, nil), err
	}
	now := time.Now()
	for _, step := range []struct {
		reply reply
		want  string
	}{
		{reply{OperatorRevision: 50, Source: []byte("5")}, "5 []"},
		{reply{OperatorRevision: 60, Evacuated: []fleet.ZoneID{"z"}}, "5 [z]"},
		{reply{OperatorRevision: 55, Source: []byte("4")}, "5 [z]"},
		{reply{OperatorRevision: 70, Source: []byte("7")}, "7 []"},
		{reply{OperatorRevision: 80, Source: []byte("6")}, "7 []"},
		{reply{OperatorRevision: 90, Source: []byte("unreadable")}, "7 []"},
	} {
		r.applyOperator(now, step.reply)
		if diff := cmp.Diff(step.want, r.operatorState.Load().Tag()); diff != "" {
			t.Errorf("revision %d: %s", step.reply.OperatorRevision, diff)
		}
	}
	select {
	case <-r.operatorReadRequests:
	default:
		t.Error("undecodable configuration is not read from the store")
	}
}

// Guards against demand that is sent with every report although updates cut reports
// short several times per second.
func TestDemandIsSentOncePerLongPollWait(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	if rep := r.collectReport(now); rep.Demand == nil {
		t.Error("the first report has no demand")
	}
	if rep := r.collectReport(now.Add(minLongPollWait / 2)); rep.Demand != nil {
		t.Errorf("after half the long-poll wait: demand %v", rep.Demand)
	}
	if rep := r.collectReport(now.Add(2 * minLongPollWait)); rep.Demand == nil {
		t.Error("after two long-poll waits: no demand")
	}
	l := &leadership{members: map[fleet.InstanceID]member{"b": {demand: map[fleet.AccountID]float64{"x": 7}}}, coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{})}
	r.applyReport(now, l, report{Instance: "b"})
	r.sumDemand(now, l)
	if diff := cmp.Diff(map[fleet.AccountID]float64{"x": 7}, r.totalDemand.rates); diff != "" {
		t.Error("after a report without demand: ", diff)
	}
}

// Guards against a new leader that sends the demand of the few instances that have
// reported to it as the total: each of them would then claim nearly the whole limit.
func TestPartialDemandIsNotSent(t *testing.T) {
	now := time.Now()
	r, _ := newRouter(t, "a")
	var peers []fleet.Peer
	for i := range 10 {
		peers = append(peers, fleet.Peer{ID: fleet.InstanceID(fmt.Sprint("i", i))})
	}
	r.setInstances(peers)
	l := &leadership{term: 2, startedAt: now, members: make(map[fleet.InstanceID]member), coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{})}
	for i, p := range peers {
		rep := report{Instance: p.ID, Demand: map[fleet.AccountID]float64{"x": 5}}
		r.applyReport(now, l, rep)
		r.sumDemand(now, l)
		sent, want := r.reply(l, rep).Demand["x"], 0.0
		if i >= 8 {
			want = 5 * float64(i+1)
		}
		if sent != want {
			t.Errorf("%d of 10 instances have reported: demand of %v requests/s sent, want %v", i+1, sent, want)
		}
	}
	if rep := r.collectReport(now); rep.Demand == nil {
		t.Error("the first report has no demand")
	}
	r.setLeader(leaderInfo{id: "c", term: 3})
	if rep := r.collectReport(now); rep.Demand == nil {
		t.Error("the first report to another leader has no demand")
	}
}
