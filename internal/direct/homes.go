package direct

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	tokensPath = "/tokens"
	// homeTimeout bounds the request for a token to a home, which normally answers
	// within a few milliseconds. After a timeout the next home is asked.
	homeTimeout = 120 * time.Millisecond
	// homeRetryDelay is the time for which a home that did not answer is not asked
	// again.
	homeRetryDelay = 400 * time.Millisecond
	// homesPerAccount is the number of instances that are asked for a token, in the
	// order of the account's rendezvous hashes. An instance that is restarting stays in
	// the list of instances for memberTimeout.
	homesPerAccount = 2
	// fallbackDivisor reduces the share of the limit that an instance admits while no
	// home answers, to 1/fallbackDivisor of an even share: other instances may still
	// reach the home, which admits the whole limit.
	fallbackDivisor = 2
)

// withinLimit reports whether the limit of x's account admits x, and if not, the time
// until it may.
func (r *Router) withinLimit(ctx context.Context, x *exchange) (bool, time.Duration) {
	id, limit := x.account.ID, x.account.Limit
	r.mu.Lock()
	n := r.instanceCount()
	if quota.Divided(limit, n) || len(r.instances) == 0 {
		defer r.mu.Unlock()
		return r.quota.Admit(x.receivedAt, id, limit, n)
	}
	r.quota.CountedByHome(x.receivedAt, id, limit)
	homes := r.availableHomes(x.receivedAt, id)
	if len(homes) > 0 && homes[0].ID == r.cfg.Instance {
		defer r.mu.Unlock()
		return r.homeQuota.Admit(x.receivedAt, id, limit)
	}
	r.mu.Unlock()
	for _, home := range homes {
		if home.ID == r.cfg.Instance {
			continue // other instances ask the first home; counting here too would admit more
		}
		ok, wait, err := r.requestToken(ctx, home, id)
		r.mu.Lock()
		if err == nil {
			r.fallbackQuota.CountedByHome(x.receivedAt, id, limit)
			r.mu.Unlock()
			return ok, wait
		}
		r.homeFailedAt[home.ID] = time.Now()
		r.mu.Unlock()
		r.log.Info("account home did not answer", "request", x.info.ID, "account", id, "home", home.ID, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fallbackQuota.Admit(x.receivedAt, id, limit, fallbackDivisor*n)
}

// availableHomes returns the instances that may count the account's requests, in the
// order in which they are to be asked: those with the highest rendezvous hashes,
// without those that recently failed to answer. The caller must hold mu.
func (r *Router) availableHomes(now time.Time, id fleet.AccountID) []fleet.Peer {
	homes, known := r.homesByAccount[id]
	if !known {
		homes = rendezvous(id, r.instances, homesPerAccount)
		r.homesByAccount[id] = homes
	}
	var available []fleet.Peer
	for _, p := range homes {
		if failedAt, failed := r.homeFailedAt[p.ID]; !failed || now.Sub(failedAt) > homeRetryDelay {
			available = append(available, p)
		}
	}
	return available
}

// rendezvous returns the n peers with the highest rendezvous hashes for the account,
// highest first.
func rendezvous(id fleet.AccountID, peers []fleet.Peer, n int) []fleet.Peer {
	var selected []fleet.Peer
	var hashes []uint64
	for _, p := range peers {
		h := xxhash.Sum64String(string(id) + "/" + string(p.ID))
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

// requestToken requests a token from a home of the account. If it is denied, the
// duration is the time until the next token.
func (r *Router) requestToken(ctx context.Context, home fleet.Peer, id fleet.AccountID) (bool, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	res, err := r.peers.Do(ctx, home.Addr, &http1.Request{Method: http.MethodGet, Target: tokensPath + "?" + url.QueryEscape(string(id))}, nil)
	if err != nil {
		return false, 0, err
	}
	switch res.Status {
	case http.StatusOK:
		return true, 0, nil
	case http.StatusTooManyRequests:
		waitMillis, err := strconv.ParseInt(strings.TrimSpace(string(res.Body)), 10, 64)
		if err != nil {
			return false, 0, errors.Wrap(err, "decode the time until the next token")
		}
		return false, time.Duration(waitMillis) * time.Millisecond, nil
	}
	return false, 0, errors.Errorf("unexpected status %d", res.Status)
}

// serveToken handles a token request of another instance for an account whose home is
// this instance.
func (r *Router) serveToken(w http.ResponseWriter, req *http.Request) {
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
	r.mu.Lock()
	ok, wait := r.homeQuota.Admit(time.Now(), account.ID, account.Limit)
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
