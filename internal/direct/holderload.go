package direct

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// holderLoadTTL is the time for which a load that a holder has stated is used. A queue
	// that takes longer to become empty is stated again by the answers meanwhile.
	holderLoadTTL = 2 * time.Second
	// hotKeysTTL is the time for which shares of hot keys are used without a reply from the
	// leader.
	hotKeysTTL = 2 * time.Second
	// longWait is the shortest expected wait at a holder that the leader reports to instances.
	longWait = 100 * time.Millisecond
	// maxReportedHolders bounds the holders in a report and in a reply.
	maxReportedHolders = 32
	// waitJitter is the range of the random factor on each expected wait, so that not all
	// instances send again at the same moment.
	waitJitter = 0.5
	// hotKeyRetryDelay is the shortest retry delay of a request for a key that is too hot.
	// A burst on a key takes some seconds; a sooner retry is probably refused again.
	hotKeyRetryDelay = time.Second
	// idleServiceShare is the share of the usual service time that must be left for a first
	// attempt at a holder without a known queue: a part of the requests takes less.
	idleServiceShare = 0.5
)

// holderLoad is the load that a holder of keys has stated.
type holderLoad struct {
	boot     fleet.BootID
	requests float64 // running and waiting
	rate     float64 // requests/s that it serves; 0 if it is to be taken from the own table
	at       time.Time
	sent     float64 // by this instance since then
	reported bool    // to the leader
}

// holderLoads is what an instance knows of the load of the holders of keys, from answers to
// its own requests and from the leader.
type holderLoads struct {
	rng     *rand.Rand
	holders map[fleet.UpstreamID]holderLoad
	hotKeys map[fleet.ServiceID]map[keyspace.Key]*hotKey
	// hotKeysAt is when the leader computed hotKeys.
	hotKeysAt time.Time
	// fullAt is when a full holder last made this instance report at once, and urgent states
	// that this report is due.
	fullAt time.Time
	urgent bool
	// planned are the shares that this instance has computed as the leader, at plannedAt.
	planned   map[fleet.ServiceID][]keyspace.KeyShare
	plannedAt time.Time
}

// hotKey is the share of the requests for a key that are admitted. due is the sum of the
// shares of the requests since the last admitted one.
type hotKey struct{ share, due float64 }

func newHolderLoads(rng *rand.Rand) holderLoads {
	return holderLoads{rng: rng, holders: make(map[fleet.UpstreamID]holderLoad)}
}

// note records the load in an answer of e.
func (h *holderLoads) note(now time.Time, e *balance.Entry, load *balance.Load) {
	if load == nil {
		return
	}
	requests := float64(load.Running + load.Waiting)
	if old := h.holders[e.ID]; load.Waiting == 0 && old.at.IsZero() {
		return
	}
	h.holders[e.ID] = holderLoad{boot: e.Boot, requests: requests, at: now}
}

// merge records the load that another instance knows, if it is newer.
func (h *holderLoads) merge(now time.Time, list []reportedLoad) {
	for _, l := range list {
		if l.Age < 0 || l.Age > holderLoadTTL {
			continue
		}
		at := now.Add(-l.Age)
		if old := h.holders[l.ID]; old.at.Before(at) {
			h.holders[l.ID] = holderLoad{boot: l.Boot, requests: l.Requests, rate: l.Rate, at: at, reported: true}
		}
	}
}

// setHotKeys replaces the shares that the leader computed age ago.
func (h *holderLoads) setHotKeys(now time.Time, age time.Duration, list map[fleet.ServiceID][]keyspace.KeyShare) {
	h.hotKeysAt = now.Add(-age)
	old := h.hotKeys
	h.hotKeys = make(map[fleet.ServiceID]map[keyspace.Key]*hotKey, len(list))
	for id, shares := range list {
		keys := make(map[keyspace.Key]*hotKey, len(shares))
		for _, s := range shares {
			keys[s.Key] = &hotKey{share: s.Share, due: h.rng.Float64()}
			if before := old[id][s.Key]; before != nil {
				keys[s.Key].due = before.due
			}
		}
		h.hotKeys[id] = keys
	}
}

// noteFull reports whether a full holder makes this instance report at once: not within
// interval after the last time.
func (h *holderLoads) noteFull(now time.Time, interval time.Duration) bool {
	if now.Sub(h.fullAt) < interval {
		return false
	}
	h.fullAt, h.urgent = now, true
	return true
}

// takeUrgent reports whether such a report is due, and resets this.
func (h *holderLoads) takeUrgent() bool {
	urgent := h.urgent
	h.urgent = false
	return urgent
}

// prune forgets loads that are too old to be used.
func (h *holderLoads) prune(now time.Time) {
	maps.DeleteFunc(h.holders, func(_ fleet.UpstreamID, l holderLoad) bool { return now.Sub(l.at) > holderLoadTTL })
}

// wait returns how long a request that is sent to e now is expected to wait there. capacity
// is that of e by the own table.
func (h *holderLoads) wait(now time.Time, e *balance.Entry, capacity balance.Capacity) time.Duration {
	l, known := h.holders[e.ID]
	age := now.Sub(l.at)
	if !known || l.boot != e.Boot || age > holderLoadTTL {
		return 0
	}
	rate := l.rate
	if rate <= 0 {
		rate = capacity.Rate
	}
	queued := l.requests + l.sent - rate*age.Seconds() + 1 - float64(e.Slots)
	if rate <= 0 || queued <= 0 {
		return 0
	}
	return time.Duration(queued / rate * float64(time.Second))
}

// sent counts a request that this instance sends to e.
func (h *holderLoads) sent(e *balance.Entry) {
	if l, known := h.holders[e.ID]; known {
		l.sent++
		h.holders[e.ID] = l
	}
}

// holderRequest is a request for a key, as far as the decision to send it needs it.
type holderRequest struct {
	receivedAt, deadline time.Time
	repeated             bool    // it has been sent before
	queueShare           float64 // of the longest queue, by its priority
}

// holderVerdict is the decision whether a request is sent to the holder of its key.
type holderVerdict int

const (
	sendToHolder  holderVerdict = iota
	keyTooHot                   // beyond the share that the holder can serve of the key's requests
	tooLittleTime               // its work alone would not end before its deadline
	longQueue                   // it would wait too long to be answered before its deadline
)

// reason returns the reason in the refusal of a request, or "".
func (v holderVerdict) reason() (reason string) {
	switch v {
	case sendToHolder:
	case keyTooHot:
		reason = "key-too-hot"
	case tooLittleTime:
		reason = "too-little-time"
	case longQueue:
		reason = "long-queue"
	}
	return reason
}

// decide decides whether a request is sent to the holder of its key, and returns the retry
// delay if it is not. serviceTime is the usual one of e.
func (h *holderLoads) decide(now time.Time, q holderRequest, e *balance.Entry, capacity balance.Capacity, serviceTime time.Duration) (holderVerdict, time.Duration) {
	wait, left := h.wait(now, e, capacity), q.deadline.Sub(now)
	if wait == 0 {
		needed := serviceTime
		if !q.repeated {
			needed = time.Duration(idleServiceShare * float64(serviceTime))
		}
		if left < needed {
			return tooLittleTime, retryAfterFull + h.spread(retryAfterFull)
		}
		return sendToHolder, 0
	}
	// A wait beyond the target latency is accepted: a late answer is worth more to a caller
	// than a refusal whose repetition may be refused again.
	longest := time.Duration(q.queueShare * float64(left-serviceTime))
	jittered := time.Duration(float64(wait) * (1 - waitJitter/2 + waitJitter*h.rng.Float64()))
	if jittered <= longest {
		return sendToHolder, 0
	}
	room := max(wait-longest, retryAfterFull)
	return longQueue, room + h.spread(room)
}

// roomIn returns the retry delay of a request that e has refused because its queue is full:
// the time until a request is expected to be answered there within half of its target
// latency, and the spread.
func (h *holderLoads) roomIn(now time.Time, e *balance.Entry, capacity balance.Capacity, target time.Duration) time.Duration {
	room := max(h.wait(now, e, capacity)-target/2, retryAfterFull)
	return room + h.spread(room)
}

// seconds returns a duration that the balance package states in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// spread returns a random delay that is added to the time until a holder has room.
func (h *holderLoads) spread(room time.Duration) time.Duration {
	return time.Duration(h.rng.Float64() * float64(max(resumeSpread, room)))
}

// admitKey reports whether a request for a key is within the share that its holder can
// serve. Of the requests for one key, those that are admitted are evenly distributed.
func (h *holderLoads) admitKey(now time.Time, id fleet.ServiceID, key keyspace.Key) bool {
	if now.Sub(h.hotKeysAt) > hotKeysTTL {
		return true
	}
	k := h.hotKeys[id][key]
	if k == nil {
		return true
	}
	if k.due += k.share; k.due < 1 {
		return false
	}
	k.due--
	return true
}

// reportedLoad is the load of a holder in a message.
type reportedLoad struct {
	ID       fleet.UpstreamID
	Boot     fleet.BootID
	Requests float64
	Rate     float64 // requests/s; 0 in reports
	Age      time.Duration
}

// takeReport returns the loads for a report: those of holders with waiting requests that the
// leader has not received.
func (h *holderLoads) takeReport(now time.Time) []reportedLoad {
	h.prune(now)
	var list []reportedLoad
	for id, l := range h.holders {
		if !l.reported {
			list = append(list, reportedLoad{ID: id, Boot: l.boot, Requests: l.requests, Age: now.Sub(l.at)})
			l.reported = true
			h.holders[id] = l
		}
	}
	return newest(list)
}

// long returns the loads for a reply of the leader: those of the holders at which a request
// is expected to wait for longWait. get returns an upstream and its capacity.
func (h *holderLoads) long(now time.Time, get func(fleet.UpstreamID) (*balance.Entry, balance.Capacity)) []reportedLoad {
	h.prune(now)
	var list []reportedLoad
	for id, l := range h.holders {
		e, capacity := get(id)
		if e != nil && h.wait(now, e, capacity) >= longWait {
			list = append(list, reportedLoad{ID: id, Boot: l.boot, Requests: l.requests, Rate: math.Round(capacity.Rate*10) / 10, Age: now.Sub(l.at)})
		}
	}
	return newest(list)
}

// newest returns the newest loads of list, at most maxReportedHolders.
func newest(list []reportedLoad) []reportedLoad {
	slices.SortFunc(list, func(a, b reportedLoad) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), maxReportedHolders)]
}
