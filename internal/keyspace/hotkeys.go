package keyspace

import (
	"cmp"
	"slices"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// KeyShare is the share, from 0 to 1, of the requests for a key that its holder can serve.
type KeyShare struct {
	Key   Key
	Share float64
}

const (
	// hotKeyLoad is the share of the capacity of a holder up to which requests are admitted
	// to it if one of its keys is too hot. With its whole capacity its queue would not get
	// shorter.
	hotKeyLoad = 0.95
	// minHotKeyLoad is the share of the capacity of a holder from which on a key is too hot.
	// The capacity is an estimate; the queue of the holder bounds smaller excesses.
	minHotKeyLoad = 1.25
	// maxHotKeys bounds the keys of a service that have a share, and with them the message
	// that contains them.
	maxHotKeys = 32
)

// HotKeys returns, for each service, the keys that have more requests than their holder can
// serve beside its other keys, as of the last call of Plan, in order of keys.
func (co *Coordinator) HotKeys() map[fleet.ServiceID][]KeyShare {
	out := make(map[fleet.ServiceID][]KeyShare)
	for id, s := range co.services {
		if len(s.hotKeys) > 0 {
			out[id] = s.hotKeys
		}
	}
	return out
}

// keyLoad is a key with its requests per second.
type keyLoad struct {
	key  Key
	rate float64
}

// findHotKeys returns the shares of the keys of overloaded upstreams. load is the load of
// each upstream once all planned moves are complete. On each upstream, all keys above a
// common rate are reduced to it, so that the other keys are served completely.
func (s *service) findHotKeys(load map[fleet.UpstreamID]float64) []KeyShare {
	var shares []KeyShare
	keys := make(map[fleet.UpstreamID][]keyLoad)
	for _, sh := range s.shards {
		u, known := s.upstreams[sh.plannedHolder()]
		if !known || load[u.ID] <= u.Capacity {
			continue
		}
		for k := int(sh.From); k <= int(sh.To); k++ {
			// The extrapolated rate of a young surge may be too high by half.
			if rate := min(s.keyLoad.keyRate(k), s.keyLoad.fastKeyRate(Key(k))); rate > 0 {
				keys[u.ID] = append(keys[u.ID], keyLoad{Key(k), rate})
			}
		}
	}
	for _, id := range s.sortedIDs {
		shares = append(shares, reduceHottest(keys[id], s.upstreams[id].Capacity)...)
	}
	slices.SortFunc(shares, func(a, b KeyShare) int { return cmp.Compare(a.Share, b.Share) })
	shares = shares[:min(len(shares), maxHotKeys)]
	slices.SortFunc(shares, func(a, b KeyShare) int { return cmp.Compare(a.Key, b.Key) })
	return shares
}

// reduceHottest returns the shares that reduce the hottest keys to one rate such that all
// keys together have hotKeyLoad of the capacity of their holder. It returns none if no key by
// itself is too hot: such keys move to other upstreams, and the shares would be out of date
// then.
func reduceHottest(keys []keyLoad, capacity float64) []KeyShare {
	slices.SortFunc(keys, func(a, b keyLoad) int { return cmp.Compare(b.rate, a.rate) })
	rest, rate := 0.0, hotKeyLoad*capacity
	for _, k := range keys {
		rest += k.rate
	}
	if rest <= rate || keys[0].rate <= minHotKeyLoad*capacity {
		return nil
	}
	level, n := 0.0, 0
	for n < len(keys) {
		rest -= keys[n].rate
		n++
		level = max(0, rate-rest) / float64(n)
		if n == len(keys) || level >= keys[n].rate {
			break
		}
	}
	var shares []KeyShare
	for _, k := range keys[:n] {
		shares = append(shares, KeyShare{Key: k.key, Share: level / k.rate})
	}
	return shares
}
