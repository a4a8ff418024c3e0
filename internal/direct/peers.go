package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	leaderPath = "/leader"
	// peersAsked is the number of others that an instance asks for the leader at a time,
	// and peerTimeout how long it waits for each.
	peersAsked  = 2
	peerTimeout = 200 * time.Millisecond
)

// fingerprint tells lists of peers apart. It is 0 for an empty one.
func fingerprint(peers []fleet.Peer) uint64 {
	if len(peers) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, p := range peers {
		_, _ = h.WriteString(string(p.ID) + " " + p.Addr + "\n") // a hash takes every write
	}
	return h.Sum64()
}

func ids(peers []fleet.Peer) []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

// askPeers asks other instances for a leader that this one does not know yet, for
// when the store serves others only. It reports whether there is one, and follows
// it.
func (r *Router) askPeers(ctx context.Context) bool {
	r.mu.Lock()
	var asked []fleet.Peer
	for _, i := range r.rng.Perm(len(r.instances)) {
		if p := r.instances[i]; p.ID != r.cfg.Instance && p.ID != r.leader.id && len(asked) < peersAsked {
			asked = append(asked, p)
		}
	}
	term := r.leader.term
	r.mu.Unlock()
	for _, p := range asked {
		info, err := r.askLeader(ctx, p)
		if err != nil {
			r.log.Debug("instance does not tell the leader", "instance", p.ID, "error", err)
			continue
		}
		if info.term > term && info.id != r.cfg.Instance {
			r.log.Info("leader told by an instance", "instance", p.ID, "leader", info.id, "term", info.term)
			r.setLeader(info)
			return true
		}
	}
	return false
}

func (r *Router) askLeader(ctx context.Context, p fleet.Peer) (leaderInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := r.peers.Do(ctx, p.Addr, &http1.Request{Method: http.MethodGet, Target: leaderPath}, nil)
	if err != nil {
		return leaderInfo{}, err
	}
	if res.Status != http.StatusOK {
		return leaderInfo{}, errors.Errorf("status %d", res.Status)
	}
	info := leaderInfo{heard: time.Now()}
	err = jx.DecodeBytes(res.Body).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "id":
			var s string
			s, err = d.Str()
			info.id = fleet.InstanceID(s)
		case "addr":
			info.addr, err = d.Str()
		case "term":
			info.term, err = d.UInt64()
		default:
			err = d.Skip()
		}
		return err
	})
	return info, err
}

// tellLeader answers another instance that does not know the leader.
func (r *Router) tellLeader(w http.ResponseWriter) {
	r.mu.Lock()
	info := r.leader
	known := info.term > 0 && (r.leadership != nil || time.Since(info.heard) < pace(len(r.instances))+silenceMargin)
	r.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("id")
	e.Str(string(info.id))
	e.FieldStart("addr")
	e.Str(info.addr)
	e.FieldStart("term")
	e.UInt64(info.term)
	e.ObjEnd()
	if _, err := w.Write(e.Bytes()); err != nil {
		r.log.Debug("leader not told", "error", err)
	}
}
