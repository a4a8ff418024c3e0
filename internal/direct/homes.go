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
	// homeTimeout bounds the question to a home, which answers within a few
	// milliseconds; beyond it the next home is asked.
	homeTimeout = 120 * time.Millisecond
	// homePause is how long a home that did not answer is not asked.
	homePause = 400 * time.Millisecond
	// homesTried is the number of homes that are asked, in the account's order of
	// instances. An instance that restarts stays in the list for memberSilent.
	homesTried = 2
	// withoutHome is the number of even parts that an instance counts with if no home
	// answers, for each instance: the others may reach the home, which admits the whole
	// limit.
	withoutHome = 2
)

// withinLimit reports whether the limit of x's account admits x, and else the time
// until it may.
func (r *Router) withinLimit(ctx context.Context, x *exchange) (bool, time.Duration) {
	id, limit := x.account.ID, x.account.Limit
	r.mu.Lock()
	n := r.instanceCount()
	if quota.Divided(limit, n) || len(r.instances) == 0 {
		defer r.mu.Unlock()
		return r.quota.Admit(x.began, id, limit, n)
	}
	r.quota.CountedElsewhere(x.began, id, limit)
	homes := r.homesOf(x.began, id)
	if len(homes) > 0 && homes[0].ID == r.cfg.Instance {
		defer r.mu.Unlock()
		return r.home.Admit(x.began, id, limit)
	}
	r.mu.Unlock()
	for _, home := range homes {
		if home.ID == r.cfg.Instance {
			continue // it would count beside the home that the others ask
		}
		ok, wait, err := r.askHome(ctx, home, id)
		r.mu.Lock()
		if err == nil {
			r.lone.CountedElsewhere(x.began, id, limit)
			r.mu.Unlock()
			return ok, wait
		}
		r.homesDown[home.ID] = time.Now()
		r.mu.Unlock()
		r.log.Info("home of an account does not answer", "request", x.asked.ID, "account", id, "home", home.ID, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lone.Admit(x.began, id, limit, withoutHome*n)
}

// homesOf returns the instances that count the account's requests, the one to ask
// first at first: those with the highest hashes (rendezvous hashing) that answered
// lately. The caller holds mu.
func (r *Router) homesOf(now time.Time, id fleet.AccountID) []fleet.Peer {
	homes, known := r.homes[id]
	if !known {
		homes = rendezvous(id, r.instances, homesTried)
		r.homes[id] = homes
	}
	var up []fleet.Peer
	for _, p := range homes {
		if down, failed := r.homesDown[p.ID]; !failed || now.Sub(down) > homePause {
			up = append(up, p)
		}
	}
	return up
}

// rendezvous returns the n first of peers in the account's own order.
func rendezvous(id fleet.AccountID, peers []fleet.Peer, n int) []fleet.Peer {
	var best []fleet.Peer
	var hashes []uint64
	for _, p := range peers {
		h := xxhash.Sum64String(string(id) + "/" + string(p.ID))
		at := len(best)
		for at > 0 && h > hashes[at-1] {
			at--
		}
		if at >= n {
			continue
		}
		best = append(best[:at], append([]fleet.Peer{p}, best[at:]...)...)
		hashes = append(hashes[:at], append([]uint64{h}, hashes[at:]...)...)
		best, hashes = best[:min(n, len(best))], hashes[:min(n, len(hashes))]
	}
	return best
}

// askHome asks the home of an account for a token.
func (r *Router) askHome(ctx context.Context, home fleet.Peer, id fleet.AccountID) (bool, time.Duration, error) {
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
		ms, err := strconv.ParseInt(strings.TrimSpace(string(res.Body)), 10, 64)
		if err != nil {
			return false, 0, errors.Wrap(err, "time until a token")
		}
		return false, time.Duration(ms) * time.Millisecond, nil
	}
	return false, 0, errors.Errorf("status %d", res.Status)
}

// giveToken answers another instance that asks for a token of an account that this
// one is the home of.
func (r *Router) giveToken(w http.ResponseWriter, req *http.Request) {
	id, err := url.QueryUnescape(req.URL.RawQuery)
	var account routes.Account
	known := false
	if op := r.operator.Load(); err == nil && op != nil && op.Table != nil {
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
	ok, wait := r.home.Admit(time.Now(), account.ID, account.Limit)
	r.mu.Unlock()
	if ok {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusTooManyRequests)
	if _, err := w.Write([]byte(strconv.FormatInt(wait.Milliseconds(), 10))); err != nil {
		r.log.Debug("home's answer not delivered", "account", account.ID, "error", err)
	}
}
