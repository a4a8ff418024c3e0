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
	// leaderQueryPeers is the number of other instances that an instance asks for the
	// leader in one attempt, leaderQueryTimeout the time that it waits for each.
	leaderQueryPeers   = 2
	leaderQueryTimeout = 200 * time.Millisecond
)

// fingerprint returns a hash of a list of peers, 0 for an empty one.
func fingerprint(peers []fleet.Peer) uint64 {
	if len(peers) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, p := range peers {
		_, _ = h.WriteString(string(p.ID) + " " + p.Addr + "\n") // writes to a hash do not fail
	}
	return h.Sum64()
}

func instanceIDs(peers []fleet.Peer) []fleet.InstanceID {
	out := make([]fleet.InstanceID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

// findLeaderThroughPeers asks other instances for a leader with a higher term than the
// known one, for the case that the store answers other instances but not this one. If
// it finds one, it sets it as leader and returns true.
func (r *Router) findLeaderThroughPeers(ctx context.Context) bool {
	r.mu.Lock()
	var candidates []fleet.Peer
	for _, i := range r.rng.Perm(len(r.instances)) {
		if p := r.instances[i]; p.ID != r.cfg.Instance && p.ID != r.leader.id && len(candidates) < leaderQueryPeers {
			candidates = append(candidates, p)
		}
	}
	term := r.leader.term
	r.mu.Unlock()
	for _, p := range candidates {
		info, err := r.queryLeader(ctx, p)
		if err != nil {
			r.log.Debug("querying another instance for the leader failed", "instance", p.ID, "error", err)
			continue
		}
		if info.term > term && info.id != r.cfg.Instance {
			r.log.Info("leader learned from another instance", "instance", p.ID, "leader", info.id, "term", info.term)
			r.setLeader(info)
			return true
		}
	}
	return false
}

func (r *Router) queryLeader(ctx context.Context, p fleet.Peer) (leaderInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderQueryTimeout)
	defer cancel()
	res, err := r.peers.Do(ctx, p.Addr, &http1.Request{Method: http.MethodGet, Target: leaderPath}, nil)
	if err != nil {
		return leaderInfo{}, err
	}
	if res.Status != http.StatusOK {
		return leaderInfo{}, errors.Errorf("unexpected status %d", res.Status)
	}
	return decodeLeaderInfo(res.Body)
}

// encode encodes who leads, for other instances.
func (l leaderInfo) encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("id")
	e.Str(string(l.id))
	e.FieldStart("addr")
	e.Str(l.addr)
	encodeRevision(&e, "term", "era", l.term)
	e.ObjEnd()
	return e.Bytes()
}

// decodeLeaderInfo parses the output of leaderInfo.encode.
func decodeLeaderInfo(data []byte) (leaderInfo, error) {
	info := leaderInfo{heardAt: time.Now()}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "id":
			var s string
			s, err = d.Str()
			info.id = fleet.InstanceID(s)
		case "addr":
			info.addr, err = d.Str()
		case "term":
			err = decodeNumber(d, &info.term)
		case "era":
			err = decodeEra(d, &info.term)
		default:
			err = d.Skip()
		}
		return err
	})
	return info, err
}

// serveLeader answers another instance's query for the leader.
func (r *Router) serveLeader(w http.ResponseWriter) {
	r.mu.Lock()
	info := r.leader
	known := info.term > 0 && (r.leadership != nil || time.Since(info.heardAt) < longPollWait(len(r.instances))+leaderSilenceMargin)
	r.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := w.Write(info.encode()); err != nil {
		r.log.Debug("sending the leader to another instance failed", "error", err)
	}
}
