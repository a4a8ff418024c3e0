package direct

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against shares that are lost on the way from the reports of instances through the
// leader to the decision on a request, against a holder whose shortage refuses requests for
// the keys of others, and against a difference made without a shortage.
func TestAdmissionReachesRequests(t *testing.T) {
	for name, sharded := range map[string]bool{"service": false, "holder": true} {
		t.Run(name, func(t *testing.T) {
			leader, follower := priorityRouter(t, "leader", sharded, 2), priorityRouter(t, "follower", sharded, 2)
			l := &leadership{term: 2, members: make(map[fleet.InstanceID]member), coordinator: keyspace.NewCoordinator(time.Now(), 2, keyspace.Timing{}, keyspace.Record{})}
			now := time.Now()
			refused := func(route string, key keyspace.Key) (n int) {
				for range 20 {
					if _, ok := follower.admitByPriority(now, follower.testExchange(now, route, key)); !ok {
						n++
					}
				}
				return n
			}
			if n := refused("other", 3) + refused("urgent", 3); n > 0 {
				t.Errorf("%d requests refused without a shortage", n)
			}
			var rp reply
			for range 10 { // each stands for 300 ms: 10 urgent requests and 40 others, half of them rejected
				now = now.Add(300 * time.Millisecond)
				counts := admission.Counts{Requests: admission.ByPriority{0: 10, 2: 40}, Evidence: admission.Evidence{Answered: 25, Rejected: 25}}
				rep := report{Instance: "follower", ListTerm: 2, Admission: admission.Report{For: 300 * time.Millisecond, Services: map[fleet.ServiceID]admission.Counts{"s": counts}}}
				if sharded {
					counts.Evidence = admission.Evidence{Answered: 50}
					rep.Admission.Services["s"] = counts
					rep.Admission.Holders = map[admission.Target]admission.ByPriority{{Service: "s", Holder: "u0"}: counts.Requests}
					rep.ServiceTimes = map[fleet.UpstreamID]balance.Samples{"u0": {Queued: 25, Lost: 25}}
				}
				rep, err := decodeReport(rep.encode())
				if err != nil {
					t.Fatal(err)
				}
				leader.applyReport(now, l, rep)
				leader.stepAdmission(now, l)
				if rp, err = decodeReply(leader.reply(l, rep).encode()); err != nil {
					t.Fatal(err)
				}
			}
			follower.applyReply(now, now, report{ListTerm: 2}, rp)
			if n := refused("urgent", 3); n > 0 {
				t.Errorf("%d of 20 urgent requests refused", n)
			}
			if n := refused("other", 3); n < 8 || n == 20 {
				t.Errorf("%d of 20 other requests refused, want most of them", n)
			}
			if n := refused("other", 20); sharded && n > 0 {
				t.Errorf("%d requests for keys of another holder refused", n)
			}
		})
	}
}

func BenchmarkAdmission(b *testing.B) {
	r := priorityRouter(b, "i", true, 231)
	now := time.Now()
	x := r.testExchange(now, "other", 3)
	for name, shares := range map[string]admission.Shares{
		"enough": nil,
		"short":  {{Service: "s"}: admission.Admitted(5, admission.ByPriority{0: 5, 2: 10}), {Service: "s", Holder: "u0"}: admission.Admitted(1, admission.ByPriority{0: 5, 2: 10})},
	} {
		b.Run(name, func(b *testing.B) {
			r.admission.gate.Learn(now, 0, shares)
			for b.Loop() {
				r.admitByPriority(now, x)
			}
		})
	}
}
