package direct

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// An instance sends the home of a key at most one token request at a time. Requests that arrive
// meanwhile wait for the next one. After an answer that refuses, the instance decides by the
// answer until its end. docs/design/account-homes.md explains what token requests contain.

// waitingClaim is a claim that waits for a token request to a home.
type waitingClaim[K comparable] struct {
	claim   claim[K]
	decided chan quota.Decision // buffered, since the request may have ended
}

// tokenRequester is the part of a limiter that requests tokens for several requests at once.
// Router.mu guards its fields.
type tokenRequester[K comparable] struct {
	requester  *quota.Requester[K]
	requesting map[K]bool // requestFromHomes runs
	waiting    map[K][]waitingClaim[K]
	// send sends a token request to a home. If it is nil, the limiter sends each claim by itself.
	send func(ctx context.Context, home fleet.Peer, key K, q quota.TokenRequest) (quota.Grant, error)
}

func newTokenRequester[K comparable](run quota.Run, window time.Duration) tokenRequester[K] {
	return tokenRequester[K]{requester: quota.NewRequester[K](run, window), requesting: make(map[K]bool), waiting: make(map[K][]waitingClaim[K])}
}

// reserveByTokenRequest decides on a claim by the last answer of a home, or with the next one.
func (l *limiter[K]) reserveByTokenRequest(ctx context.Context, r *Router, now time.Time, c claim[K]) quota.Decision {
	r.mu.Lock()
	l.divided.CountedByHome(now, c.key, c.limit)
	l.tokenRequests.requester.Arrive(now, c.key, c.limit)
	if !l.tokenRequests.requesting[c.key] {
		if d, known := l.tokenRequests.requester.Decide(now, c.key); known {
			r.mu.Unlock()
			r.metrics.countHomeDecision(decidedByAnswer, d.Admitted)
			return d
		}
		if homes := l.availableHomes(now, r, c.key); len(homes) > 0 && homes[0].ID == r.cfg.Instance {
			g := l.requestFromSelf(now, r, c.key, c.limit, 1)
			r.mu.Unlock()
			r.metrics.countHomeDecision(decidedByHome, g.Admitted > 0)
			return quota.Decision{Admitted: g.Admitted > 0, Wait: g.Wait}
		}
	}
	w := waitingClaim[K]{claim: c, decided: make(chan quota.Decision, 1)}
	l.tokenRequests.waiting[c.key] = append(l.tokenRequests.waiting[c.key], w)
	if !l.tokenRequests.requesting[c.key] {
		l.tokenRequests.requesting[c.key] = true
		go l.requestFromHomes(r, c.key)
	}
	r.mu.Unlock()
	select {
	case d := <-w.decided:
		return d
	case <-ctx.Done(): // the caller has left
		return quota.Decision{}
	}
}

// requestFromHomes sends token requests to the homes of a key until no claim waits.
func (l *limiter[K]) requestFromHomes(r *Router, key K) {
	for {
		now := time.Now()
		r.mu.Lock()
		waiting := l.decideWaiting(now, r, key, l.tokenRequests.waiting[key])
		if len(waiting) == 0 {
			delete(l.tokenRequests.requesting, key)
			delete(l.tokenRequests.waiting, key)
			r.mu.Unlock()
			return
		}
		l.tokenRequests.waiting[key] = nil
		homes := l.availableHomes(now, r, key)
		r.mu.Unlock()
		for len(homes) > 0 && len(waiting) > 0 {
			var answered bool
			waiting, answered = l.requestTokens(r, homes[0], key, waiting)
			if answered {
				break
			}
			homes = homes[1:]
		}
		if len(homes) == 0 {
			l.fallBack(r, waiting)
			continue
		}
		r.mu.Lock()
		l.tokenRequests.waiting[key] = append(waiting, l.tokenRequests.waiting[key]...)
		r.mu.Unlock()
	}
}

// decideWaiting decides on waiting claims, as far as the last answer covers them, and returns
// the others. The caller must hold mu.
func (l *limiter[K]) decideWaiting(now time.Time, r *Router, key K, waiting []waitingClaim[K]) []waitingClaim[K] {
	for len(waiting) > 0 {
		d, known := l.tokenRequests.requester.Decide(now, key)
		if !known {
			break
		}
		waiting[0].decided <- d
		r.metrics.countHomeDecision(decidedByAnswer, d.Admitted)
		waiting = waiting[1:]
	}
	return waiting
}

// requestTokens sends a token request about the waiting claims to a home, and returns those that the answer
// does not decide, and whether there was an answer.
func (l *limiter[K]) requestTokens(r *Router, home fleet.Peer, key K, waiting []waitingClaim[K]) ([]waitingClaim[K], bool) {
	limit := waiting[len(waiting)-1].claim.limit
	sentAt := time.Now()
	r.mu.Lock()
	if home.ID == r.cfg.Instance {
		defer r.mu.Unlock()
		g := l.requestFromSelf(sentAt, r, key, limit, len(waiting))
		return l.decideWaiting(sentAt, r, key, admitFirst(r, waiting, g.Admitted)), true
	}
	q := l.tokenRequests.requester.TokenRequest(sentAt, key, home.ID, len(waiting))
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), homeTimeout)
	defer cancel()
	g, err := l.tokenRequests.send(ctx, home, key, q)
	now := time.Now()
	r.mu.Lock()
	if err != nil {
		r.noteHomeFailure(now, home.ID)
		l.tokenRequests.requester.Failed(now, key, home.ID)
		r.mu.Unlock()
		r.metrics.homeTokenRequests.WithLabelValues("failed").Inc()
		l.logFailure(home.ID, waiting[0].claim, err)
		return waiting, false
	}
	l.tokenRequests.requester.Answered(now, sentAt, key, home.ID, q, g)
	l.fallback.CountedByHome(now, key, limit)
	waiting = l.decideWaiting(now, r, key, admitFirst(r, waiting, g.Admitted))
	r.mu.Unlock()
	r.metrics.homeTokenRequests.WithLabelValues(grantLabel(q, g)).Inc()
	return waiting, true
}

// admitFirst admits the first n of the waiting claims and returns the others.
func admitFirst[K comparable](r *Router, waiting []waitingClaim[K], n int) []waitingClaim[K] {
	n = min(n, len(waiting))
	for _, w := range waiting[:n] {
		w.decided <- quota.Decision{Admitted: true}
		r.metrics.countHomeDecision(decidedByHome, true)
	}
	return waiting[n:]
}

func grantLabel(q quota.TokenRequest, g quota.Grant) string {
	if g.Admitted < q.Wanted {
		return "refused"
	}
	return "admitted"
}

// requestFromSelf decides at the home itself. The caller must hold mu.
func (l *limiter[K]) requestFromSelf(now time.Time, r *Router, key K, limit fleet.Limit, wanted int) quota.Grant {
	q := l.tokenRequests.requester.TokenRequest(now, key, r.cfg.Instance, wanted)
	g := l.home.Grant(now, key, limit, q, r.boot, quota.LeaseTime(r.instanceCount()))
	l.tokenRequests.requester.Answered(now, now, key, r.cfg.Instance, q, g)
	return g
}

// fallBack decides on claims while no home answers, by a small part of the limit.
func (l *limiter[K]) fallBack(r *Router, waiting []waitingClaim[K]) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range waiting {
		d := l.fallback.Reserve(now, w.claim.key, w.claim.limit, fallbackDivisor*r.instanceCount(), w.claim.maxWait)
		if d.Admitted {
			l.tokenRequests.requester.Admitted(now, w.claim.key, 1)
		}
		w.decided <- d
		r.metrics.countHomeDecision(decidedByPart, d.Admitted)
	}
}

// requestTokensFromHome sends a token request to a home of an account, which has the account's limit
// from the configuration.
func (r *Router) requestTokensFromHome(ctx context.Context, home fleet.Peer, id fleet.AccountID, q quota.TokenRequest) (quota.Grant, error) {
	res, err := r.peers.Do(ctx, home.Addr, &http1.Request{Method: http.MethodPost, Target: tokensPath + "?" + url.QueryEscape(string(id)), Body: encodeTokenRequest(q)}, nil)
	switch {
	case err != nil:
		return quota.Grant{}, err
	case res.Status == http.StatusOK && len(res.Body) == 0: // an unlimited account, or an earlier version of the program
		return quota.Grant{Admitted: 1}, nil
	case res.Status == http.StatusOK:
		return decodeGrant(res.Body)
	case res.Status == http.StatusTooManyRequests: // an earlier version of the program
		waitMillis, err := strconv.ParseInt(strings.TrimSpace(string(res.Body)), 10, 64)
		if err != nil {
			return quota.Grant{}, errors.Wrap(err, "decode the time until the next token")
		}
		return quota.Grant{Wait: time.Duration(waitMillis) * time.Millisecond}, nil
	}
	return quota.Grant{}, errors.Errorf("unexpected status %d", res.Status)
}

// serveTokenRequest answers a token request about an account whose home is this instance.
func (r *Router) serveTokenRequest(w http.ResponseWriter, id fleet.AccountID, limit fleet.Limit, body []byte) {
	q, err := decodeTokenRequest(body)
	if err != nil {
		r.log.Warn("decoding a token request failed", "account", id, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	g := r.accounts.home.Grant(time.Now(), id, limit, q, r.boot, quota.LeaseTime(r.instanceCount()))
	r.mu.Unlock()
	if _, err := w.Write(encodeGrant(g)); err != nil {
		r.log.Debug("sending the answer to a token request failed", "account", id, "error", err)
	}
}
