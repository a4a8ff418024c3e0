package load

import (
	"math/rand/v2"
	"strconv"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// zipfOffset is the parameter v of rand.NewZipf. It flattens the head of the
	// distribution, so that the most requested of 2,000 keys gets about 2% of the
	// requests at skew 1.1.
	zipfOffset = 10
	// hotKeyStride shifts the mapping from ranks to keys whenever the hot keys
	// change. It is prime, so that it takes many changes until a rank maps to the
	// same key again.
	hotKeyStride = 7919
)

// picker draws random entries and routing keys for the requests of one account.
type picker struct {
	rng         *rand.Rand
	entries     []Entry
	totalWeight float64
	zipf        []*rand.Zipf // by entry; nil means uniformly distributed keys
}

func newPicker(rng *rand.Rand, entries []Entry, totalWeight float64) *picker {
	p := &picker{rng: rng, entries: entries, totalWeight: totalWeight, zipf: make([]*rand.Zipf, len(entries))}
	for i, e := range entries {
		if e.Skew > 1 {
			p.zipf[i] = rand.NewZipf(rng, e.Skew, zipfOffset, uint64(e.Keys-1))
		}
	}
	return p
}

// pickEntry returns the index of a random entry, chosen by weight.
func (p *picker) pickEntry() int {
	x := p.rng.Float64() * p.totalWeight
	for i, e := range p.entries {
		if x -= e.Weight; x < 0 {
			return i
		}
	}
	return len(p.entries) - 1
}

func (p *picker) pickKey(entry, epoch int) fleet.RoutingKey {
	keys := p.entries[entry].Keys
	var rank int
	if z := p.zipf[entry]; z != nil {
		rank = int(z.Uint64())
	} else {
		rank = p.rng.IntN(keys)
	}
	return fleet.RoutingKey("k" + strconv.Itoa((rank+epoch*hotKeyStride)%keys))
}
