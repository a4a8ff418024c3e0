package quota

import (
	"strconv"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// BenchmarkGrant measures the answer of a home to a token request, and BenchmarkDecide the decision
// on a request by the last answer.
func BenchmarkGrant(b *testing.B) {
	for _, requesters := range []int{86, 300} {
		b.Run(strconv.Itoa(requesters), func(b *testing.B) {
			home, now := NewHome[string](cfg), start
			limit := fleet.Limit{Rate: 181, Burst: 181}
			qs := make([]TokenRequest, requesters)
			for i := range qs {
				qs[i] = TokenRequest{Requester: Run{Instance: fleet.InstanceID(strconv.Itoa(i))}, Wanted: 2, Demand: 30}
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(5 * time.Millisecond)
				home.Grant(now, "a", limit, qs[i%requesters], "1", LeaseTime(requesters))
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	a, now := NewRequester[string](Run{Instance: "i"}, cfg.Window), start
	limit := fleet.Limit{Rate: 181, Burst: 181}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		a.Arrive(now, "a", limit)
		if _, known := a.Decide(now, "a"); !known {
			a.Answered(now, now, "a", "h", a.TokenRequest(now, "a", "h", 1), Grant{Boot: "1", Lease: 430 * time.Millisecond, Rate: 2})
		}
	}
}
