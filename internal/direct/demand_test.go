package direct

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against shares of a limit that add up to far more than 1 while the demand rises: an
// instance compared its last report with a sum that contains an earlier one.
func TestSharesWhileDemandRises(t *testing.T) {
	const (
		instances = 20
		interval  = 600 * time.Millisecond // of the reports of an instance
		calm, hot = 2.0, 100.0             // requests/s at each instance
		rise      = 5 * time.Second        // the demand rises at this time, within a second
	)
	now := time.Now()
	leader, _ := newRouter(t, "leader")
	l := &leadership{term: 2, startedAt: now, members: make(map[fleet.InstanceID]member), coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{})}
	var peers []fleet.Peer
	var followers []*Router
	for i := range instances {
		id := fleet.InstanceID(rune('a' + i))
		r, _ := newRouter(t, id)
		r.accounts.divided = quota.New[fleet.AccountID](now, quota.Config{Window: time.Second})
		followers, peers = append(followers, r), append(peers, fleet.Peer{ID: id})
	}
	leader.setInstances(peers)
	limit, admitted := fleet.Limit{Rate: 200, Burst: 1}, 0
	for at := time.Duration(0); at < rise+3*time.Second; at += 10 * time.Millisecond {
		now := now.Add(at)
		demand := calm + (hot-calm)*min(1, max(0, (at-rise).Seconds()))
		for i, r := range followers {
			r.setInstances(peers)
			arrivals := int((at+10*time.Millisecond).Seconds()*demand) - int(at.Seconds()*demand)
			for range arrivals {
				if ok, _ := r.accounts.divided.Admit(now, "x", limit, instances); ok && at >= rise {
					admitted++
				}
			}
			if (at+time.Duration(i)*interval/instances)%interval != 0 {
				continue
			}
			rep := r.collectReport(now)
			leader.applyReport(now, l, rep) // the reply is made before the next sum
			r.applyReply(now, now, rep, leader.reply(l, rep))
		}
		if at%(100*time.Millisecond) == 0 {
			leader.sumDemand(now, l)
		}
	}
	const overage, slack = 0.1, 20 // that platforms tolerate in a window
	if most := int((3*float64(limit.Rate)+float64(limit.Burst))*(1+overage)) + slack; admitted > most {
		t.Errorf("%d requests admitted within 3 s, at most %d are allowed", admitted, most)
	}
}

// Guards against a reply that states a sum which lacks the report of its receiver, or the number
// of another report.
func TestReplyStatesContainedReport(t *testing.T) {
	now := time.Now()
	r, _ := newRouter(t, "a")
	l := &leadership{term: 2, startedAt: now.Add(-time.Hour), members: make(map[fleet.InstanceID]member), coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{})}
	send := func(id fleet.InstanceID, seq uint64, rate float64) reply {
		rep := report{Instance: id, Demand: map[fleet.AccountID]float64{"x": rate}, DemandSeq: seq}
		r.applyReport(now, l, rep)
		return r.reply(l, rep)
	}
	send("b", 7, 5)
	r.sumDemand(now, l)
	second, other := send("b", 8, 50), send("c", 1, 9)
	if diff := cmp.Diff([]any{map[fleet.AccountID]float64{"x": 5}, uint64(7)}, []any{second.Demand, second.DemandSeq}); diff != "" {
		t.Error("before the next sum: ", diff)
	}
	if other.Demand != nil {
		t.Errorf("an instance that the sum lacks gets %v", other.Demand)
	}
	r.sumDemand(now, l)
	third := send("b", 9, 60)
	if diff := cmp.Diff([]any{map[fleet.AccountID]float64{"x": 59}, uint64(8)}, []any{third.Demand, third.DemandSeq}); diff != "" {
		t.Error("after the next sum: ", diff)
	}
}

// Guards against reports that are remembered without a bound, or found under another number.
func TestDemandReports(t *testing.T) {
	var d demandReports
	if _, ok := d.get(0); ok {
		t.Error("a report was found before the first one")
	}
	for i := range uint64(3 * maxDemandReports) {
		if seq := d.add(map[fleet.AccountID]float64{"x": float64(i + 1)}); seq != i+1 {
			t.Errorf("number %d, want %d", seq, i+1)
		}
	}
	const last = 3 * maxDemandReports
	for seq, want := range map[uint64]float64{0: last, last: last, last - maxDemandReports + 1: last - maxDemandReports + 1, last - maxDemandReports: 0, last + 1: 0} {
		got, ok := d.get(seq)
		if diff := cmp.Diff([]any{want, want > 0}, []any{got["x"], ok}); diff != "" {
			t.Errorf("report %d: %s", seq, diff)
		}
	}
}
