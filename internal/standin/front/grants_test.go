package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a log that misses a grant with a fencing token that is too low, or of
// keys that another upstream holds, and against one that reports proper moves.
func TestGrantLog(t *testing.T) {
	const long = "10000ms"
	type order struct {
		upstream        int // 0 or 1
		path            string
		from, to, fence int
		hold            string
		want            []string // violations
	}
	tests := map[string][]order{
		"proper move": {
			{0, "grant", 0, 100, 3, long, nil},
			{0, "grant", 0, 100, 3, long, nil},
			{0, "release", 0, 100, 3, "", nil},
			{1, "grant", 0, 100, 4, long, nil},
			{0, "grant", 101, 200, 2, long, nil},
		},
		"move after the end of the hold": {
			{0, "grant", 0, 100, 3, "1ms", nil},
			{1, "grant", 0, 100, 4, long, nil},
		},
		"held by another": {
			{0, "grant", 0, 100, 3, long, nil},
			{0, "release", 0, 49, 3, "", nil},
			{1, "grant", 40, 60, 4, long, []string{"u1 takes keys 50 to 60 with fence 4, while u0 holds them with fence 3"}},
		},
		"lower fence after a release": {
			{0, "grant", 0, 100, 3, long, nil},
			{0, "release", 0, 100, 3, "", nil},
			{1, "grant", 100, 200, 3, long, []string{"u1 takes keys 100 to 100 with fence 3, not above the fence with which u0 had them, 3"}},
		},
		"renewal by a former holder": {
			{0, "grant", 0, 100, 3, "1ms", nil},
			{1, "grant", 0, 100, 4, "1ms", nil},
			{0, "grant", 0, 100, 3, long, []string{"u0 takes keys 0 to 100 with fence 3, not above the fence with which u1 had them, 4"}},
		},
	}
	for name, orders := range tests {
		t.Run(name, func(t *testing.T) {
			log := NewGrantLog()
			var upstreams []*Upstream
			for i := range 2 {
				u, err := StartUpstream(UpstreamConfig{ID: fmt.Sprint("u", i), Sharded: true, Grants: log})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(u.Crash)
				upstreams = append(upstreams, u)
			}
			var want, got []string
			for _, o := range orders {
				body := fmt.Sprintf(`{"from":%d,"target":%d,"fence":%d,"hold_time":%q}`, o.from, o.to, o.fence, o.hold)
				res, err := http.Post("http://"+upstreams[o.upstream].Addr()+"/api/"+o.path, "application/json", strings.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				_ = res.Body.Close()
				if res.StatusCode != http.StatusOK {
					t.Errorf("%s %s: status %d", o.path, body, res.StatusCode)
				}
				want = append(want, o.want...)
				time.Sleep(3 * time.Millisecond) // until holds of 1 ms have ended
			}
			for _, v := range log.Violations() {
				got = append(got, v.String())
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff, log.Trace(50))
			}
		})
	}
}
