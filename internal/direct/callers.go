package direct

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// defaultHeadTimeout bounds the time for a request head if the operators state none.
	defaultHeadTimeout = 10 * time.Second
	// idleMargin is added to the operators' idle timeout, or doubles a shorter one. Callers use
	// up to four fifths of it, and a request may be under way for some seconds on a link that
	// was cut.
	idleMargin = 5 * time.Second
	// minCallerRate is the rate in bytes per second at which a caller has to send a body and to
	// read a response. Links of 10 Mbit/s that hundreds of callers share give each many times
	// that.
	minCallerRate = 1 << 10
	// reservedDescriptors are for files and the connections of the instance itself.
	reservedDescriptors = 200
	// callerConnShare, probeConnShare, idleUpstreamShare and requestShare divide the other
	// descriptors. Each request in progress may have a connection to an upstream. The rest is
	// for connections of other instances and for second attempts.
	callerConnShare   = 0.5
	probeConnShare    = 0.0625
	idleUpstreamShare = 0.125
	requestShare      = 0.125
	// callerConnMemory and requestMemory are the memory in bytes of a connection, and that of a
	// request in progress with a response that counts in no budget, and connMemoryShare and
	// requestMemoryShare what all of them may take of the memory limit.
	callerConnMemory   = 20 << 10
	requestMemory      = 100 << 10
	connMemoryShare    = 0.2
	requestMemoryShare = 0.15
	// minCallerConns, minProbeConns and minRequests keep a small instance usable.
	minCallerConns = 64
	minProbeConns  = 32
	minRequests    = 32
	// maxProbeRequests is the number of readiness checks or metrics requests in progress.
	maxProbeRequests = 64
	// relieveShare is the share of the memory limit from which on callers that make no progress
	// lose their requests.
	relieveShare = 0.85
	// callersLogInterval is the least time between log lines on closed connections of callers.
	callersLogInterval = 10 * time.Second
)

// callerLimits returns the limits of the server for callers. l are those of the operators.
func callerLimits(l routes.CallerLimits) http1.Limits {
	out := http1.Limits{MaxHead: l.MaxHead, MaxBody: l.MaxBody, HeadTimeout: l.HeadTimeout, IdleTimeout: serverReadTimeout}
	if out.HeadTimeout <= 0 {
		out.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout + min(l.IdleTimeout, idleMargin)
	}
	return out
}

// connShares are the bounds on connections and requests that follow from the descriptors and
// the memory of an instance; 0 means that there is none.
type connShares struct {
	callers, probes, requests int
}

// descriptorShares divides descriptors and memory, each 0 if unknown.
func descriptorShares(descriptors int, memory int64) connShares {
	out := connShares{probes: maxProbeConns}
	if descriptors > 0 {
		out.callers = freeDescriptors(descriptors, callerConnShare)
		out.probes = min(out.probes, freeDescriptors(descriptors, probeConnShare))
		out.requests = freeDescriptors(descriptors, requestShare)
	}
	if memory > 0 {
		out.callers = minKnown(out.callers, int(float64(memory)*connMemoryShare/callerConnMemory))
		out.requests = minKnown(out.requests, int(float64(memory)*requestMemoryShare/requestMemory))
	}
	if out.callers > 0 {
		out.callers = max(out.callers, minCallerConns)
	}
	if out.requests > 0 {
		out.requests = max(out.requests, minRequests)
	}
	out.probes = max(out.probes, minProbeConns)
	return out
}

func freeDescriptors(descriptors int, share float64) int {
	return max(1, int(float64(descriptors-reservedDescriptors)*share))
}

// minKnown returns the smaller bound, of which a may be 0 if there is none.
func minKnown(a, b int) int {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// MaxIdleUpstreamConns returns how many idle connections to upstreams an instance with so many
// descriptors keeps, 0 if there is no bound.
func MaxIdleUpstreamConns(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return freeDescriptors(descriptors, idleUpstreamShare)
}

// checkHead decides from the head of a request whether it will be refused, so that its body is
// not received. Without a configuration nothing is known about it.
func (r *Router) checkHead(h http1.RequestHead) http1.HeadVerdict {
	op := r.operatorState.Load()
	if op == nil || op.Table == nil {
		return http1.HeadVerdict{}
	}
	host, _ := h.Field("Host")
	path, _, _ := strings.Cut(h.Target, "?")
	route := op.Table.Match(host, path)
	if route == nil {
		return http1.HeadVerdict{Refused: true}
	}
	if route.Public || len(op.Table.Accounts) == 0 {
		return http1.HeadVerdict{}
	}
	key, ok := h.Field(r.platform.Protocol.CallerKeyHeader())
	if !ok {
		return http1.HeadVerdict{Refused: true}
	}
	account, ok := op.Table.Account(fleet.CallerKey(key))
	return http1.HeadVerdict{Refused: !ok, Owner: string(account.ID)}
}

// relieveMemory ends requests of slow callers if used bytes of memory are near the limit.
func (r *Router) relieveMemory(now time.Time, used int64) {
	if callers := r.callers.Load(); callers != nil && float64(used) >= relieveShare*float64(r.cfg.MaxMemory) {
		callers.Relieve(now)
	}
}

// probeConnClosed counts a closed connection of a readiness check.
func (r *Router) probeConnClosed(cause http1.CloseCause, _ int) {
	r.metrics.closedProbes.WithLabelValues(string(cause)).Inc()
}

// closedCallers collects the connections of callers that were refused or closed before their
// end, until they are logged.
type closedCallers struct {
	mu       sync.Mutex
	loggedAt time.Time
	counts   map[http1.CloseCause]int
}

// add counts a connection, and returns the counts since the last line if one is due.
func (c *closedCallers) add(now time.Time, cause http1.CloseCause) map[http1.CloseCause]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[http1.CloseCause]int)
	}
	c.counts[cause]++
	if now.Sub(c.loggedAt) < callersLogInterval {
		return nil
	}
	counts := c.counts
	c.counts, c.loggedAt = nil, now
	return counts
}

// noteClosedCaller logs, at a bounded rate, connections that were refused or closed because of
// how their callers behave.
func (r *Router) noteClosedCaller(now time.Time, cause http1.CloseCause) {
	switch cause {
	case http1.ClosedSlowHead, http1.ClosedSlowBody, http1.ClosedHeadSize, http1.ClosedMemory, http1.ClosedEvicted, http1.ClosedFull, http1.ClosedUnread, http1.ClosedInvalid:
	default:
		return
	}
	counts := r.closedCallers.add(now, cause)
	if counts == nil {
		return
	}
	fields := make([]any, 0, 2*len(counts))
	for cause, n := range counts {
		fields = append(fields, string(cause), n)
	}
	r.log.Warn("connections of callers refused or closed", fields...)
}

// refuseUnreceived refuses the requests that a server has not received completely, or that
// exceed ServerConfig.MaxRequests, for a handler that does not read bodies.
func refuseUnreceived(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if _, err := http1.RequestBody(req); err != nil {
			w.WriteHeader(refuseBody(err).status)
			return
		}
		h.ServeHTTP(w, req)
	})
}
