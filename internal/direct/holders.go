package direct

import (
	"net/http"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// holderCapacity returns a function that returns an upstream and its capacity at now.
func (r *Router) holderCapacity(now time.Time) func(fleet.UpstreamID) (*balance.Entry, balance.Capacity) {
	return func(id fleet.UpstreamID) (*balance.Entry, balance.Capacity) {
		e := r.upstreams.Get(id)
		if e == nil {
			return nil, balance.Capacity{}
		}
		return e, r.upstreams.Capacity(now, e)
	}
}

// callerTimeLeft returns the time until the deadline of the caller of x, which may be later
// than that of x by its route, or 0 if the caller has stated none.
func (x *exchange) callerTimeLeft(now time.Time) time.Duration {
	if x.info.Timeout <= 0 {
		return 0
	}
	return max(x.info.Timeout-now.Sub(x.receivedAt), minCallerTime)
}

// minCallerTime stands for the time left of a caller whose deadline has passed.
const minCallerTime = time.Millisecond

// retryDelayWithin bounds a retry delay by the time that a caller with the given time left
// waits. It does not return after a longer one, although its request might be served. If
// left is 0 it is unknown.
func retryDelayWithin(delay, left time.Duration) time.Duration {
	if left <= 0 {
		return delay
	}
	return min(delay, max(time.Duration(callerWaitShare*float64(left)), retryAfterFull))
}

// refuseHotKey refuses x if its key is too hot for its holder and x is beyond the share of
// the requests that the holder serves. It returns false if x is to be sent. Such requests do
// not count as demand for the holder, whose other keys have room.
func (r *Router) refuseHotKey(now time.Time, x *exchange) (outcome, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holderLoads.admitKey(now, x.service.ID, x.info.RoutingKey) {
		return outcome{}, false
	}
	r.metrics.holderRefusals.WithLabelValues(serviceLabel(x.service.ID), keyTooHot.reason()).Inc()
	return refuse(http.StatusServiceUnavailable, keyTooHot.reason(), hotKeyRetryDelay+r.holderLoads.spread(hotKeyRetryDelay)), true
}

// refuseForLoad refuses x if its holder is known to be too full to answer it in time, or if
// its time is too short. It returns false if x is to be sent.
func (r *Router) refuseForLoad(now time.Time, x *exchange, upstream *balance.Entry) (outcome, bool) {
	q := holderRequest{
		receivedAt: x.receivedAt, deadline: x.deadline,
		repeated:   x.arrivals > 0,
		queueShare: x.table.QueueShare(x.service.ID, routes.PriorityOf(x.route, x.account)),
	}
	r.mu.Lock()
	verdict, retryAfter := r.holderLoads.decide(now, q, upstream, r.upstreams.Capacity(now, upstream), seconds(r.upstreams.ServiceTime(now, upstream)))
	if verdict == longQueue {
		r.noteFullHolder(now)
	}
	r.mu.Unlock()
	if verdict == sendToHolder {
		return outcome{}, false
	}
	r.metrics.holderRefusals.WithLabelValues(serviceLabel(x.service.ID), verdict.reason()).Inc()
	if x.sends.close() { // an earlier attempt may have run
		return refuse(http.StatusBadGateway, "upstream-lost", retryAfterHolderLost), true
	}
	return refuse(http.StatusServiceUnavailable, verdict.reason(), retryDelayWithin(retryAfter, x.callerTimeLeft(now))), true
}

// holderRetryDelay returns the retry delay of a request that its holder has refused.
func (r *Router) holderRetryDelay(now time.Time, x *exchange, upstream *balance.Entry) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.holderLoads.roomIn(now, upstream, r.upstreams.Capacity(now, upstream), x.route.Target)
	return retryDelayWithin(delay, x.callerTimeLeft(now))
}

// noteSentToHolder counts a request that is sent to the holder of its key.
func (r *Router) noteSentToHolder(upstream *balance.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holderLoads.sent(upstream)
}

// noteHolderLoad records the load in the answer to an attempt, if it was for a key. The
// caller must hold mu.
func (r *Router) noteHolderLoad(now time.Time, x *exchange, a attempt) {
	if !x.service.Sharded {
		return
	}
	r.holderLoads.note(now, a.upstream, a.metadata.Load)
	if a.verdict == balance.Full {
		r.noteFullHolder(now)
	}
}

// noteFullHolder makes the instance report at once, at most as often as it reports regularly.
// A holder whose keys become busy is full within 0.1 s, the regular reports of all instances
// take up to 0.7 s. The caller must hold mu.
func (r *Router) noteFullHolder(now time.Time) {
	if !r.holderLoads.noteFull(now, longPollWait(len(r.instances))) {
		return
	}
	r.metrics.holderReports.Inc()
	close(r.newsReady)
	r.newsReady = make(chan struct{})
}

// addHolderReport adds the requested keys and the loads of holders to a report. The caller
// must hold mu.
func (r *Router) addHolderReport(now time.Time, rep *report) {
	rep.Keys = r.requestedKeys
	r.requestedKeys = make(map[fleet.ServiceID][]keyspace.Key)
	rep.HolderLoads = r.holderLoads.takeReport(now)
}

// countKeys adds the requested keys of a report to the load of the keys. It must not be called
// for the first report of an instance to this leader: that has the requests since the former
// leader was lost, which would make all keys look several times busier than they are.
func (l *leadership) countKeys(rep report) {
	for id, keys := range rep.Keys {
		counter := l.coordinator.LoadCounter(id)
		if counter == nil {
			continue
		}
		for _, k := range keys {
			counter.Add(k)
		}
	}
}

// holderUpdate returns the state of holders for a reply. The caller must hold mu.
func (r *Router) holderUpdate(now time.Time) holderUpdate {
	return holderUpdate{Loads: r.holderLoads.long(now, r.holderCapacity(now)), HotKeys: r.holderLoads.planned, Age: now.Sub(r.holderLoads.plannedAt)}
}

// applyHolderUpdate applies the state of holders in a reply that was made at repliedAt. The caller must
// hold mu.
func (r *Router) applyHolderUpdate(repliedAt time.Time, n holderUpdate) {
	r.holderLoads.merge(repliedAt, n.Loads)
	r.holderLoads.setHotKeys(repliedAt, n.Age, n.HotKeys)
}

// setHotKeys sets the keys that are too hot for their holders, as the leader has computed
// them, for this instance and for replies.
func (r *Router) setHotKeys(now time.Time, hotKeys map[fleet.ServiceID][]keyspace.KeyShare) {
	r.mu.Lock()
	before := r.holderLoads.planned
	r.holderLoads.planned, r.holderLoads.plannedAt = hotKeys, now
	r.holderLoads.setHotKeys(now, 0, hotKeys)
	r.mu.Unlock()
	for id, shares := range hotKeys {
		if len(before[id]) == 0 {
			r.log.Warn("keys too hot for their holders", "service", id, "keys", len(shares), "key", shares[0].Key, "share", shares[0].Share)
		}
	}
	for id := range before {
		if len(hotKeys[id]) == 0 {
			r.log.Info("no key too hot for its holder", "service", id)
		}
	}
}
