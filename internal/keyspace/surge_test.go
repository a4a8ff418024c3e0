package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against keys that two upstreams hold (fakeUpstreams checks that), or that none ever
// gets, if a surge is divided while calls are lost, a holder falls silent and the leader is
// replaced by one that knows the last record only.
func TestSurgeWithFailures(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := start
		var ids []fleet.UpstreamID
		for i := range 30 {
			ids = append(ids, fleet.UpstreamID(fmt.Sprintf("u%02d", i)))
		}
		fakes := newFakeUpstreams(t)
		o, rec := NewCoordinator(now, 1, timing, Record{}), Record{}
		parts := 0
		step := func(surge bool) {
			o.SetUpstreams(now, archive, usableUpstreams(ids...))
			if lc := o.LoadCounter(archive); lc != nil {
				for range 10 {
					lc.Add(Key(rng.IntN(Keys)))
					if surge {
						lc.Add(Key(10_000 + rng.IntN(600)))
					}
				}
			}
			o.Plan(now)
			parts += len(o.Moves())
			if next, stored, changed := o.Save(now); changed {
				rec = next
				stored()
			}
			for _, c := range o.Calls(now) {
				switch r := fakes.answer(now, c); {
				case rng.IntN(20) == 0:
					o.CallEnded(now, c, NoAnswer, "")
				default:
					o.CallEnded(now, c, r, "warm")
				}
			}
			now = now.Add(50 * time.Millisecond)
		}
		for i := range 500 {
			switch i {
			case 110:
				fakes.silent["u04"] = true // holds the keys of the surge
			case 130:
				o = NewCoordinator(now, 2, timing, rec)
			case 300:
				fakes.silent["u04"] = false
			}
			step(i >= 100 && i < 200)
		}
		for range 200 { // without load
			step(false)
		}
		if st := o.Stats(); st.Held < st.Shards-10 {
			t.Errorf("seed %d: %d of %d shards are held", seed, st.Held, st.Shards)
		}
		if parts < 20 {
			t.Errorf("seed %d: %d moves, want more: the surge was not divided", seed, parts)
		}
	}
}
