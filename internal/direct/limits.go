package direct

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// An overloaded upstream names, in its answers, the request rate that it accepts from all
// instances together. An instance that receives such an answer reports it to the leader,
// whose replies contain it for the others. The requests under a limit are counted like those
// of a client account (homes.go): by one instance, or, for a high limit, by each for an even
// part.

const (
	upstreamTokensPath = "/upstream-tokens"
	// namedBurstTime sets the burst of a named limit: as many requests as it allows in this
	// time. They serve requests that arrive together after a moment without any.
	namedBurstTime = 250 * time.Millisecond
	// significantLimitChange is the relative change of a limit from which it is sent to
	// other instances. An upstream may name a slightly different one in each answer.
	significantLimitChange = 0.05
	// newsInterval is the shortest time between two reports to the leader of leaving and
	// limited upstreams.
	newsInterval = 100 * time.Millisecond
	// maxLimitTries bounds the upstreams at which a request tries to reserve a slot.
	maxLimitTries = 3
)

// upstreamTolerance is the tolerance of named limits. A new home has no record of the
// requests that another one has admitted; half of the limit above it covers both. Requests
// to a limited upstream are few, so that homes count them unless the limit is high.
var upstreamTolerance = quota.Config{Window: 4 * time.Second, Overage: 0.5, Slack: 5, MinDividedRate: 25}

// runName returns the name by which the homes of a run are chosen.
func runName(run balance.Run) string {
	return "upstream " + string(run.ID) + " " + string(run.Boot) + " " + run.Addr
}

// namedLimit returns the limit of all instances together for an upstream that names rate.
func namedLimit(rate fleet.PerSecond) fleet.Limit {
	return fleet.Limit{Rate: rate, Burst: fleet.Tokens(float64(rate) * namedBurstTime.Seconds())}
}

// noteLimit records the limit in the answer of an upstream to a request sent at sentAt. ran
// states that the upstream has run the request; source is the kind of the answer, and id
// the request that it answers, if any.
func (r *Router) noteLimit(now, sentAt time.Time, upstream *balance.Entry, l balance.NamedLimit, ran bool, id fleet.RequestID, source string) {
	invalid := l.Invalid || l.Named && (l.Rate < balance.MinNamedLimit || l.Rate > balance.MaxNamedLimit)
	r.mu.Lock()
	changed := r.upstreams.NoteLimit(now, sentAt, upstream, l, ran)
	run := upstream.Registration
	if changed {
		r.limitChanged(now, upstream, true)
	}
	logInvalid := invalid && now.Sub(r.invalidLimitLoggedAt) >= invalidLogInterval
	if logInvalid {
		r.invalidLimitLoggedAt = now
	}
	rate := upstream.LimitRate()
	r.mu.Unlock()
	if invalid {
		r.metrics.invalidLimits.Inc()
	}
	if logInvalid {
		r.log.Warn("invalid limit of an upstream", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source, "named", float64(l.Rate))
	}
	if changed {
		r.log.Info("upstream limit changed", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source, "per-second", float64(rate))
	}
}

// mergeLimits records the limits of upstreams that another instance has reported.
func (r *Router) mergeLimits(now time.Time, limits []balance.RunLimit, source string) {
	for _, l := range limits {
		r.mu.Lock()
		changed := r.upstreams.MergeLimit(now, l)
		if changed {
			r.limitChanged(now, r.upstreams.GetRun(l.Run), false)
		}
		r.mu.Unlock()
		if changed {
			r.log.Info("upstream limit changed", "upstream", l.Run.ID, "boot", l.Run.Boot, "source", source, "per-second", float64(l.Rate))
		}
	}
}

// limitChanged applies a changed limit at this instance and queues it for the others. own
// states that the limit is from an answer to this instance. The caller must hold mu.
func (r *Router) limitChanged(now time.Time, upstream *balance.Entry, own bool) {
	l := upstream.RunLimit(now)
	if l.Rate == 0 {
		r.upstreamLimits.forget(l.Run)
	} else {
		r.upstreamLimits.fallback.CountedByHome(now, l.Run, namedLimit(l.Rate))
	}
	if r.limitLog.update(l, own) && own {
		close(r.newsReady)
		r.newsReady = make(chan struct{})
	}
}

// limitLog contains the last significant change of the limit of each run, for messages to
// other instances.
type limitLog struct {
	seq     uint64 // version, which grows by one with each change
	changes map[balance.Run]limitChange
}

type limitChange struct {
	rate fleet.PerSecond // 0: the limit has ended
	own  bool            // from an answer to this instance
	seq  uint64          // version of the change
}

func newLimitLog() limitLog { return limitLog{changes: make(map[balance.Run]limitChange)} }

// update records the present limit of a run, and reports whether its change is significant.
func (l *limitLog) update(limit balance.RunLimit, own bool) bool {
	last, known := l.changes[limit.Run]
	difference := math.Abs(float64(limit.Rate - last.rate))
	if known && (limit.Rate > 0) == (last.rate > 0) && difference <= significantLimitChange*float64(last.rate) {
		return false
	}
	l.seq++
	l.changes[limit.Run] = limitChange{rate: limit.Rate, own: own, seq: l.seq}
	return true
}

// limitsSince returns the limits that have changed after version seq, as they are now, and
// the present version. The caller must hold mu.
func (r *Router) limitsSince(now time.Time, seq uint64) ([]balance.RunLimit, uint64) {
	var limits []balance.RunLimit
	for run, c := range r.limitLog.changes {
		if upstream := r.upstreams.GetRun(run); upstream != nil && c.seq > seq {
			limits = append(limits, upstream.RunLimit(now))
		}
	}
	return limits, r.limitLog.seq
}

// ownLimits returns the limits from answers to this instance whose versions reported does
// not contain, and adds them to it. The caller must hold mu.
func (r *Router) ownLimits(now time.Time, reported map[balance.Run]uint64) []balance.RunLimit {
	var limits []balance.RunLimit
	for run, c := range r.limitLog.changes {
		if upstream := r.upstreams.GetRun(run); upstream != nil && c.own && reported[run] != c.seq {
			limits = append(limits, upstream.RunLimit(now))
			reported[run] = c.seq
		}
	}
	return limits
}

// pruneLimits forgets the limits of runs that are not listed any more. The caller must hold
// mu.
func (r *Router) pruneLimits() {
	for run := range r.limitLog.changes {
		if r.upstreams.GetRun(run) == nil {
			delete(r.limitLog.changes, run)
			r.upstreamLimits.forget(run)
		}
	}
}

// admitSend decides whether the limit that upstream names, if any, lets x be sent there
// after at most maxWait, and if so counts the request.
func (r *Router) admitSend(ctx context.Context, now time.Time, x *exchange, upstream *balance.Entry, maxWait time.Duration) quota.Decision {
	r.mu.Lock()
	l := upstream.RunLimit(now)
	r.mu.Unlock()
	if l.Rate == 0 {
		return quota.Decision{Admitted: true}
	}
	d := r.upstreamLimits.reserve(ctx, r, now, claim[balance.Run]{key: l.Run, limit: namedLimit(l.Rate), maxWait: maxWait, id: x.info.ID})
	if !d.Admitted {
		d.Wait = max(d.Wait, time.Millisecond)
		r.mu.Lock()
		r.upstreams.NoteLimitReached(upstream, now.Add(d.Wait))
		r.mu.Unlock()
	}
	return d
}

// maxLimitWait returns how long x can wait for a slot at upstream and still be answered
// within its target latency.
func (r *Router) maxLimitWait(now time.Time, x *exchange, upstream *balance.Entry) time.Duration {
	r.mu.Lock()
	serviceTime := time.Duration(r.upstreams.ServiceTime(now, upstream) * float64(time.Second))
	r.mu.Unlock()
	end := x.receivedAt.Add(x.route.Target)
	if x.deadline.Before(end) {
		end = x.deadline
	}
	return max(0, end.Sub(now)-serviceTime)
}

func (r *Router) logUpstreamHomeFailure(home fleet.InstanceID, c claim[balance.Run], err error) {
	r.log.Info("upstream home did not answer", "request", c.id, "upstream", c.key.ID, "home", home, "error", err)
}

// requestUpstreamToken sends a claim to the home of a run. The message and the answer
// contain the limits that the two instances have recorded.
func (r *Router) requestUpstreamToken(ctx context.Context, home fleet.Peer, c claim[balance.Run]) (quota.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	now := time.Now()
	r.mu.Lock()
	upstream := r.upstreams.GetRun(c.key)
	message := upstreamClaim{limit: balance.RunLimit{Run: c.key, Rate: c.limit.Rate}, maxWait: c.maxWait}
	if upstream != nil {
		message.limit = upstream.RunLimit(now)
	}
	r.mu.Unlock()
	res, err := r.peers.Do(ctx, home.Addr, &http1.Request{Method: http.MethodPost, Target: upstreamTokensPath, Body: message.encode()}, nil)
	if err != nil {
		return quota.Decision{}, err
	}
	if res.Status != http.StatusOK {
		return quota.Decision{}, errors.Errorf("unexpected status %d", res.Status)
	}
	answer, err := decodeUpstreamDecision(res.Body)
	if err != nil {
		return quota.Decision{}, errors.Wrap(err, "decode the answer to a claim")
	}
	answer.limit.Run = c.key
	r.mergeLimits(time.Now(), []balance.RunLimit{answer.limit}, "home "+string(home.ID))
	return answer.decision, nil
}

// serveUpstreamToken decides on a claim of another instance for a run whose home is this
// instance.
func (r *Router) serveUpstreamToken(w http.ResponseWriter, body []byte) {
	message, err := decodeUpstreamClaim(body)
	if err != nil {
		r.log.Warn("decoding a claim failed", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	r.mergeLimits(now, []balance.RunLimit{message.limit}, "claim")
	r.mu.Lock()
	limit := message.limit
	if upstream := r.upstreams.GetRun(limit.Run); upstream != nil { // else it is not in this instance's list yet
		limit = upstream.RunLimit(now)
	}
	answer := upstreamDecision{decision: quota.Decision{Admitted: true}, limit: limit}
	if limit.Rate > 0 {
		answer.decision = r.upstreamLimits.home.Reserve(now, limit.Run, namedLimit(limit.Rate), message.maxWait)
	}
	r.mu.Unlock()
	if _, err := w.Write(answer.encode()); err != nil {
		r.log.Debug("sending the answer to a claim failed", "upstream", limit.Run.ID, "error", err)
	}
}
