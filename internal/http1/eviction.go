package http1

import (
	"cmp"
	"net"
	"slices"
	"time"
)

const (
	// minStallTime is how long a sender has made no progress before it may lose its
	// connection to others, and minUnreadTime the same for a reader of responses.
	minStallTime  = 500 * time.Millisecond
	minUnreadTime = time.Second
	// minIdleEvictTime is the same for idle connections on which a request was served. They
	// are closed only if no other connection can be.
	minIdleEvictTime = time.Second
	// evictionInterval is the least time between two searches for the slowest, which visit
	// each connection, and evictionBatch the share of the connections that one of them ends.
	evictionInterval = 20 * time.Millisecond
	evictionBatch    = 1.0 / 32
	// roomTries is how often a body waits evictionInterval for the memory of evicted ones.
	roomTries = 10
	// overshootShare is the share of ServerConfig.MaxConns by which evicted connections that
	// are still open may exceed it.
	overshootShare = 1.0 / 16
)

// holder is a connection that may be evicted.
type holder struct {
	conn *serverConn
	rank int           // higher ones are evicted first
	held time.Duration // without progress
}

// Ranks of evicted connections.
const (
	rankIdle    = iota // idle, with an earlier request
	rankStalled        // sends, reads or does nothing
	rankDone           // the last response was sent
)

// holderOf returns why c may be evicted. The caller holds Server.mu.
func (c *serverConn) holderOf(now time.Time) (holder, bool) {
	h := holder{conn: c}
	if c.aborted || c.closed {
		return h, false
	}
	if !c.lingerSince.IsZero() {
		h.rank, h.held = rankDone, now.Sub(c.lingerSince)
		return h, true
	}
	if c.evicted {
		return h, false
	}
	if since := c.writingSince.Load(); since > 0 {
		h.rank, h.held = rankStalled, now.Sub(time.Unix(0, since))
		return h, h.held >= minUnreadTime
	}
	if c.closing || c.expired != "" || c.pipeline.rejecting {
		return h, false
	}
	if c.progress.phase != phaseNone {
		h.rank, h.held = rankStalled, now.Sub(c.progress.steppedAt)
		return h, h.held >= minStallTime
	}
	if len(c.inFlight) > 0 || c.pipeline.inFlight > 0 {
		return h, false
	}
	h.rank, h.held = rankIdle, now.Sub(c.idleSince)
	if c.pipeline.newest == nil {
		h.rank = rankStalled
		return h, h.held >= minStallTime
	}
	return h, h.held >= minIdleEvictTime
}

// slowest returns at most n of the connections that keep accepts, those first that have held
// their place longest without progress. Each counts as often as there are candidates with
// its address or its owner, whichever are more, so that one address or account cannot take
// the places of all. The caller holds Server.mu.
func (s *Server) slowest(now time.Time, n int, keep func(holder) bool) []holder {
	var list []holder
	counts := make(map[string]int)
	for c := range s.conns {
		if h, ok := c.holderOf(now); ok && keep(h) {
			list = append(list, h)
			counts[c.addr]++
			counts[c.owner]++
		}
	}
	weight := func(h holder) float64 {
		n := counts[h.conn.addr]
		if h.conn.owner != "" {
			n = max(n, counts[h.conn.owner])
		}
		return h.held.Seconds() * float64(n)
	}
	slices.SortFunc(list, func(a, b holder) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(weight(b), weight(a)))
	})
	return list[:min(n, len(list))]
}

// evict ends connections of holders, and the requests that they have sent in part. The caller
// holds Server.mu.
func (s *Server) evict(list []holder) {
	for _, h := range list {
		c := h.conn
		if !c.evicted {
			c.evicted = true
			s.evicting++
		}
		if h.rank != rankDone && c.writingSince.Load() == 0 {
			c.expire(ClosedEvicted)
			continue
		}
		c.aborted = true
		c.setClosing(ClosedEvicted, true)
		c.wakeHalfClosed()
		if tcp, ok := c.Conn.(*net.TCPConn); ok && h.rank != rankDone {
			_ = tcp.SetLinger(0) // drops what is not read; fails only on a closed connection
		}
		_ = c.Conn.Close()
	}
}

// place is what a connection is evicted for.
type place int

const (
	placeConn    place = iota // a new connection
	placeRequest              // a request in progress
	placeBody                 // memory for a body
	placeCount
)

// dueForEviction reports whether the next search for p may run. The caller holds Server.mu.
func (s *Server) dueForEviction(now time.Time, p place) bool {
	if now.Sub(s.evictedAt[p]) < evictionInterval {
		return false
	}
	s.evictedAt[p] = now
	return true
}

// batch returns how many connections one search ends. The caller holds Server.mu.
func (s *Server) batch() int { return 1 + int(float64(len(s.conns))*evictionBatch) }

// hasPlace reports whether another connection may be opened, after the eviction of others if
// necessary. The caller holds Server.mu.
func (s *Server) hasPlace(now time.Time) bool {
	limit := s.cfg.MaxConns
	if len(s.conns)-s.evicting >= limit && s.dueForEviction(now, placeConn) {
		list := s.slowest(now, s.batch(), func(holder) bool { return true })
		if len(list) > 0 && list[0].rank > rankIdle { // idle connections of sound callers are closed last
			list = slices.DeleteFunc(list, func(h holder) bool { return h.rank == rankIdle })
		}
		s.evict(list)
	}
	return len(s.conns)-s.evicting < limit && len(s.conns) < limit+int(float64(limit)*overshootShare)
}

// evictReaders ends the connections whose callers have not read their responses for longest,
// if one is due. The caller holds Server.mu.
func (s *Server) evictReaders(now time.Time) {
	if s.dueForEviction(now, placeRequest) {
		s.evict(s.slowest(now, s.batch(), func(h holder) bool { return h.conn.writingSince.Load() > 0 }))
	}
}

// evictSenders ends the requests that have been received most slowly, but for that on c.
func (s *Server) evictSenders(now time.Time, c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dueForEviction(now, placeBody) {
		s.evict(s.slowest(now, s.batch(), func(h holder) bool { return h.conn != c && h.conn.progress.phase != phaseNone }))
	}
}

// Relieve ends the requests and responses that make the least progress, because the memory of
// the process is near its limit.
func (s *Server) Relieve(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(s.slowest(now, 4*s.batch(), func(h holder) bool {
		return h.rank != rankIdle && (h.conn.progress.phase != phaseNone || h.conn.writingSince.Load() > 0)
	}))
}

// awaitRoom evicts slower senders than that on c until condition holds, and reports whether it
// does. It is called by the read loop of c, and waits at most a fraction of a second.
func (c *serverConn) awaitRoom(condition func() bool) bool {
	for range roomTries {
		c.server.evictSenders(time.Now(), c)
		time.Sleep(evictionInterval)
		if condition() {
			return true
		}
		if c.server.evictions() == 0 {
			return false // nobody is slower
		}
	}
	return false
}

// evictions returns the number of evicted connections that are still open.
func (s *Server) evictions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicting
}
