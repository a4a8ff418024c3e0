package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// requestsForVerdict feeds a comparison with the responses of a service that gets 200
// requests per second, of which a share goes to the new version, and returns how many
// responses of that version the verdict needed and whether it was that the version is bad.
func requestsForVerdict(share, failing, slowShare float64, seed uint64) (n int, bad bool) {
	rng := rand.New(rand.NewPCG(seed, 3))
	c := comparison{routes: make(map[string]*routeTest)}
	r := &RouteTally{}
	t := Totals{Routes: map[string]*RouteTally{"a": r}}
	now := time.Unix(1000, 0)
	respond := func(side *Tally, failing, slowShare float64) {
		side.Sent++
		if rng.Float64() < failing {
			side.Bad++
			side.Bads |= 1 << rng.IntN(32)
			return
		}
		side.Good++
		took := time.Duration(150+rng.IntN(450)) * time.Millisecond
		if rng.Float64() < slowShare {
			took *= 8
		}
		side.Times.Add(took)
	}
	for range 400 {
		respond(&r.Old, 0.005, 0)
	}
	c.update(now, t)
	c.reset()
	for request := range 400_000 {
		if rng.Float64() < share {
			respond(&r.New, failing, slowShare)
		} else {
			respond(&r.Old, 0.005, 0)
		}
		if request%20 != 0 {
			continue
		}
		now = now.Add(100 * time.Millisecond)
		c.update(now, t)
		if reason, _ := c.alarm(t, alarmScore, false); reason != "" {
			return r.New.Good + r.New.Bad, true
		}
		if c.good() {
			return r.New.Good + r.New.Bad, false
		}
	}
	return 0, false
}

// Guards against verdicts that need more responses of the new version than it gets within
// the time of an order, and against wrong ones. The log has the numbers at each share.
func TestRequestsForVerdict(t *testing.T) {
	const plays = 300
	for _, c := range []struct {
		name               string
		failing, slowShare float64
		bad                bool
		limit              int // of the 0.95 quantile of the needed responses
	}{
		{"good", 0.005, 0, false, 30},
		{"half fails", 0.5, 0, true, 30},
		{"a fifth fails", 0.2, 0, true, 90},
		{"8 times slower", 0, 1, true, 25},
		{"half 8 times slower", 0, 0.5, true, 120},
	} {
		for _, share := range []float64{0.01, 0.05, 0.1} {
			var needed []int
			wrong := 0
			for seed := range uint64(plays) {
				n, bad := requestsForVerdict(share, c.failing, c.slowShare, seed)
				if bad != c.bad {
					wrong++
				}
				needed = append(needed, n)
			}
			slices.Sort(needed)
			median, most := needed[plays/2], needed[plays*95/100]
			t.Logf("%s at %v of the requests: %d responses, 0.95 quantile %d, wrong %d of %d", c.name, share, median, most, wrong, plays)
			if most > c.limit || wrong > plays/10 || wrong > 3 && c.name != "a fifth fails" && c.name != "half 8 times slower" {
				t.Errorf("%s at %v: the verdict needs %d responses and is wrong %d times of %d", c.name, share, most, wrong, plays)
			}
		}
	}
}

// Guards against a verdict on the version because of one of its upstreams.
func TestOneBadUpstream(t *testing.T) {
	c := comparison{routes: make(map[string]*routeTest)}
	r := &RouteTally{Old: Tally{Good: 1000}, New: Tally{Good: 10, Bad: 8, Bads: 1 << 4}}
	c.update(time.Unix(1, 0), Totals{Routes: map[string]*RouteTally{"a": r}})
	if reason, _ := c.alarm(Totals{Routes: map[string]*RouteTally{"a": r}}, alarmScore, false); reason != "" {
		t.Errorf("8 bad responses of one upstream: alarm %q, want none", reason)
	}
	if c.good() {
		t.Error("8 bad responses of one upstream: the version counts as good")
	}
	r.New.Bads |= 1 << 9
	if reason, _ := c.alarm(Totals{Routes: map[string]*RouteTally{"a": r}}, alarmScore, false); reason != "failures" {
		t.Errorf("8 bad responses of two upstreams: alarm %q, want failures", reason)
	}
}
