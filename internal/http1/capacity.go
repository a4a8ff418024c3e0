package http1

import (
	"time"

	"github.com/go-faster/errors"
)

// ErrTooManyRequests states that the server has too many requests in progress to run another.
var ErrTooManyRequests = errors.New("too many requests in progress")

const (
	// reservedShare is the share of ServerConfig.MaxRequests from which on the slowest readers
	// of responses lose their connections, and an address or account that has more than
	// ownerShare of MaxRequests starts no further ones.
	reservedShare = 0.75
	ownerShare    = 0.5
)

// requestCounts counts the requests in progress: received, and their responses not written.
type requestCounts struct {
	total   int
	byOwner map[string]int // by address and account
}

func (r *requestCounts) add(owner string, n int) {
	if owner == "" {
		return
	}
	if r.byOwner[owner] += n; r.byOwner[owner] == 0 {
		delete(r.byOwner, owner)
	}
}

// full reports whether a request of c would exceed the requests in progress, or those that its
// address or account may have while there are many. The caller holds Server.mu.
func (s *Server) full(now time.Time, c *serverConn) bool {
	limit := float64(s.cfg.MaxRequests)
	if limit == 0 || float64(s.requests.total) < limit*reservedShare {
		return false
	}
	s.evictReaders(now)
	own := float64(max(s.requests.byOwner[c.addr], s.requests.byOwner[c.owner]))
	return float64(s.requests.total) >= limit || own >= limit*ownerShare
}

// countRequest counts the request in slot as in progress. The caller holds Server.mu.
func (s *Server) countRequest(slot *responseSlot) {
	if s.cfg.MaxRequests == 0 {
		return
	}
	slot.counted, slot.owner = true, slot.pipeline.conn.owner
	s.requests.total++
	s.requests.add(slot.pipeline.conn.addr, 1)
	s.requests.add(slot.owner, 1)
}

// uncountRequest ends the effect of countRequest. The caller holds Server.mu.
func (s *Server) uncountRequest(slot *responseSlot) {
	if !slot.counted {
		return
	}
	s.requests.total--
	s.requests.add(slot.pipeline.conn.addr, -1)
	s.requests.add(slot.owner, -1)
}
