package keyspace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a panic of the leader while an upstream is overloaded of which no key may
// move: the busiest key was 0 then, as if key 0 were overloaded there.
func TestHotKeyAloneAtItsHolder(t *testing.T) {
	for _, key := range []Key{0, 1, 5000, maxKey - 1} {
		t.Run(fmt.Sprint(key), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, uint64(key)))
			now := start
			o, fakes := NewCoordinator(now, 1, timing, Record{}), newFakeUpstreams(t)
			// The first assignment is in proportion to capacities: b gets the key alone.
			o.SetUpstreams(now, archive, []Upstream{
				{ID: "a", Boot: "1", Usable: true, Capacity: float64(key) + 0.5},
				{ID: "b", Boot: "1", Usable: true, Capacity: 1},
				{ID: "c", Boot: "1", Usable: true, Capacity: float64(maxKey-key) - 0.5},
			})
			run(o, fakes, &now, 3*time.Second)
			o.SetUpstreams(now, archive, usableUpstreams("a", "b", "c", "d", "e", "f", "g", "h"))
			lc := o.LoadCounter(archive)
			for i := range 300 {
				requests := i % 2 // 10/s, which keeps other keys away from b
				if i >= 200 {
					requests = 6 // 120/s, where each upstream serves 20/s
				}
				for range requests {
					lc.Add(key)
				}
				for range 3 {
					lc.Add(Key(rng.IntN(Keys)))
				}
				run(o, fakes, &now, 50*time.Millisecond)
			}
			m, _ := o.Map()
			if diff := cmp.Diff("b", string(m.Holder(archive, key))); diff != "" {
				t.Errorf("holder of key %d: %s", key, diff)
			}
			if st := o.Stats(); st.Held != st.Shards {
				t.Errorf("%d of %d shards are held", st.Held, st.Shards)
			}
		})
	}
}
