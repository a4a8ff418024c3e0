package direct

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	tokensPath = "/tokens"
	// homeTimeout bounds the request for a token to a home, which normally answers
	// within a few milliseconds. After a timeout the next home gets the request.
	homeTimeout = 120 * time.Millisecond
	// homeRetryDelay is the time for which a home that did not answer gets no request
	// again.
	homeRetryDelay = 400 * time.Millisecond
	// homesPerKey is the number of instances that may get a claim, in the order of
	// the rendezvous hashes of the limit's key. An instance that is restarting stays in the
	// list of instances for memberTimeout.
	homesPerKey = 2
	// fallbackDivisor reduces the share of the limit that an instance admits while no
	// home answers, to 1/fallbackDivisor of an even share: other instances may still
	// reach the home, which admits the whole limit.
	fallbackDivisor = 2
)

// limiter enforces the limits of one kind, such as those of client accounts, over all
// instances. Router.mu guards its fields.
type limiter[K comparable] struct {
	tolerance quota.Config
	divided   *quota.Table[K]    // used for limits that are divided among instances
	fallback  *quota.Table[K]    // used for keys whose homes do not answer
	home      *quota.Home[K]     // used for keys whose home is this instance
	homes     map[K][]fleet.Peer // cache; follows from the instances
	name      func(K) string     // by which the homes of a key are chosen
	// tokenRequests is used instead of request for limits of client accounts.
	tokenRequests tokenRequester[K]
	// request sends a claim to the home of its key.
	request func(ctx context.Context, home fleet.Peer, c claim[K]) (quota.Decision, error)
	// logFailure logs that the home of a claim's key did not answer.
	logFailure func(home fleet.InstanceID, c claim[K], err error)
}

// claim is a request for a token under a limit, available in at most maxWait.
type claim[K comparable] struct {
	key     K
	limit   fleet.Limit
	maxWait time.Duration
	id      fleet.RequestID
}

func newLimiter[K comparable](now time.Time, run quota.Run, tolerance quota.Config) limiter[K] {
	return limiter[K]{
		tolerance: tolerance, divided: quota.New[K](now, tolerance), fallback: quota.New[K](now, tolerance),
		home: quota.NewHome[K](tolerance), tokenRequests: newTokenRequester[K](run, tolerance.Window), homes: make(map[K][]fleet.Peer),
	}
}

func (l *limiter[K]) setTolerance(tolerance quota.Config) {
	l.tolerance = tolerance
	l.divided.SetConfig(tolerance)
	l.fallback.SetConfig(tolerance)
	l.home.SetConfig(tolerance)
	l.tokenRequests.requester.SetWindow(tolerance.Window)
}

// forget removes what is counted for a key that has no limit any more.
func (l *limiter[K]) forget(key K) {
	l.divided.Forget(key)
	l.fallback.Forget(key)
	l.home.Forget(key)
	l.tokenRequests.requester.Forget(key)
	delete(l.homes, key)
}

// reserve decides on a claim, and if it admits the request, counts it.
func (l *limiter[K]) reserve(ctx context.Context, r *Router, now time.Time, c claim[K]) quota.Decision {
	r.mu.Lock()
	n := r.instanceCount()
	if l.tolerance.Divided(c.limit, n) || len(r.instances) == 0 {
		defer r.mu.Unlock()
		d := l.divided.Reserve(now, c.key, c.limit, n, c.maxWait)
		if d.Admitted && !l.tolerance.Divided(c.limit, 2*n) { // a home may count after a change of the fleet
			l.tokenRequests.requester.Admitted(now, c.key, 1)
		}
		return d
	}
	if l.tokenRequests.send != nil {
		r.mu.Unlock()
		return l.reserveByTokenRequest(ctx, r, now, c)
	}
	l.divided.CountedByHome(now, c.key, c.limit)
	homes := l.availableHomes(now, r, c.key)
	if len(homes) > 0 && homes[0].ID == r.cfg.Instance {
		defer r.mu.Unlock()
		return l.home.Reserve(now, c.key, c.limit, c.maxWait)
	}
	r.mu.Unlock()
	for _, home := range homes {
		if home.ID == r.cfg.Instance {
			continue // other instances use the first home; counting here too would admit more
		}
		d, err := l.request(ctx, home, c)
		r.mu.Lock()
		if err == nil {
			l.fallback.CountedByHome(now, c.key, c.limit)
			r.mu.Unlock()
			return d
		}
		if ctx.Err() == nil { // else the caller has left
			r.noteHomeFailure(time.Now(), home.ID)
		}
		r.mu.Unlock()
		l.logFailure(home.ID, c, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.fallback.Reserve(now, c.key, c.limit, fallbackDivisor*n, c.maxWait)
}

// availableHomes returns the instances that may count the requests under the limit of
// key, in the order in which claims are sent to them: those with the highest rendezvous
// hashes, without those that recently failed to answer. The caller must hold mu.
func (l *limiter[K]) availableHomes(now time.Time, r *Router, key K) []fleet.Peer {
	homes, known := l.homes[key]
	if !known {
		homes = rendezvous(l.name(key), r.instances, homesPerKey)
		l.homes[key] = homes
	}
	var available []fleet.Peer
	for _, p := range homes {
		if failedAt, failed := r.homeFailedAt[p.ID]; !failed || now.Sub(failedAt) > homeRetryDelay {
			available = append(available, p)
		}
	}
	return available
}

// noteHomeFailure records that a home did not answer, and forgets failures that no longer
// count. The caller must hold mu.
func (r *Router) noteHomeFailure(now time.Time, id fleet.InstanceID) {
	maps.DeleteFunc(r.homeFailedAt, func(_ fleet.InstanceID, at time.Time) bool { return now.Sub(at) > homeRetryDelay })
	r.homeFailedAt[id] = now
}

// withinLimit reports whether the limit of x's account admits x, and if not, the time
// until it may.
func (r *Router) withinLimit(ctx context.Context, x *exchange) (bool, time.Duration) {
	d := r.accounts.reserve(ctx, r, x.receivedAt, claim[fleet.AccountID]{key: x.account.ID, limit: x.account.Limit, id: x.info.ID})
	return d.Admitted, d.Wait
}

// rendezvous returns the n peers with the highest rendezvous hashes for name, highest
// first.
func rendezvous(name string, peers []fleet.Peer, n int) []fleet.Peer {
	var selected []fleet.Peer
	var hashes []uint64
	for _, p := range peers {
		h := xxhash.Sum64String(name + "/" + string(p.ID))
		pos := len(selected)
		for pos > 0 && h > hashes[pos-1] {
			pos--
		}
		if pos >= n {
			continue
		}
		selected = append(selected[:pos], append([]fleet.Peer{p}, selected[pos:]...)...)
		hashes = append(hashes[:pos], append([]uint64{h}, hashes[pos:]...)...)
		selected, hashes = selected[:min(n, len(selected))], hashes[:min(n, len(hashes))]
	}
	return selected
}

func (r *Router) logAccountHomeFailure(home fleet.InstanceID, c claim[fleet.AccountID], err error) {
	r.log.Info("account home did not answer", "request", c.id, "account", c.key, "home", home, "error", err)
}

// serveToken handles a token request of another instance for an account whose home is
// this instance. A GET asks for one token, as instances of earlier versions do.
func (r *Router) serveToken(w http.ResponseWriter, req *http.Request, body []byte) {
	id, err := url.QueryUnescape(req.URL.RawQuery)
	var account routes.Account
	known := false
	if op := r.operatorState.Load(); err == nil && op != nil && op.Table != nil {
		account, known = op.Table.Accounts[fleet.AccountID(id)]
	}
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if account.Limit.Unlimited() {
		w.WriteHeader(http.StatusOK)
		return
	}
	if req.Method == http.MethodPost {
		r.serveTokenRequest(w, account.ID, account.Limit, body)
		return
	}
	r.mu.Lock()
	ok, wait := r.accounts.home.Admit(time.Now(), account.ID, account.Limit)
	r.mu.Unlock()
	if ok {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusTooManyRequests)
	if _, err := w.Write([]byte(strconv.FormatInt(wait.Milliseconds(), 10))); err != nil {
		r.log.Debug("sending the answer to a token request failed", "account", account.ID, "error", err)
	}
}
