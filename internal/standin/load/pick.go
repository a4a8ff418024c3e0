package load

import (
	"math/rand/v2"
	"strconv"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// zipfFlat flattens the head of the distribution, so that the hottest of
	// 2,000 keys gets about 2% of the requests at skew 1.1.
	zipfFlat = 10
	// epochStride moves the hot ranks to other keys; it is prime, so ranks do not
	// return to the same keys soon.
	epochStride = 7919
)

// picker chooses entries and routing keys for one account.
type picker struct {
	rng     *rand.Rand
	entries []Entry
	weights float64
	zipf    []*rand.Zipf // nil: all keys alike
}

func newPicker(rng *rand.Rand, entries []Entry, weights float64) *picker {
	p := &picker{rng: rng, entries: entries, weights: weights, zipf: make([]*rand.Zipf, len(entries))}
	for i, e := range entries {
		if e.Skew > 1 {
			p.zipf[i] = rand.NewZipf(rng, e.Skew, zipfFlat, uint64(e.Keys-1))
		}
	}
	return p
}

// entry returns the index of an entry.
func (p *picker) entry() int {
	x := p.rng.Float64() * p.weights
	for i, e := range p.entries {
		if x -= e.Weight; x < 0 {
			return i
		}
	}
	return len(p.entries) - 1
}

func (p *picker) key(entry, epoch int) fleet.RoutingKey {
	keys := p.entries[entry].Keys
	var rank int
	if z := p.zipf[entry]; z != nil {
		rank = int(z.Uint64())
	} else {
		rank = p.rng.IntN(keys)
	}
	return fleet.RoutingKey("k" + strconv.Itoa((rank+epoch*epochStride)%keys))
}
