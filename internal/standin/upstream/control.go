package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	wire "github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Control is the state that dispatchers set on an upstream: the dispatcher fence, the
// lease and the grants. An unfenced upstream accepts every call and checks nothing.
type Control struct {
	unfenced      bool
	dispatcher    fleet.Fence    // highest dispatcher fence seen
	leaseEnd      dispatch.Stamp // 0: no lease
	grants        map[fleet.Unit]fleet.Fence
	revokedFences map[fleet.Unit]fleet.Fence // highest revoked fence; grants that are not above it are delayed ones and rejected
}

// NewControl returns the state of an upstream that has just started: no lease and no
// grants.
func NewControl(unfenced bool) Control {
	return Control{unfenced: unfenced, grants: make(map[fleet.Unit]fleet.Fence), revokedFences: make(map[fleet.Unit]fleet.Fence)}
}

// expireLease drops the lease and all grants if the lease has ended at now.
func (c *Control) expireLease(now dispatch.Stamp) {
	if c.leaseEnd != 0 && now >= c.leaseEnd {
		c.leaseEnd = 0
		clear(c.grants)
	}
}

// Apply executes a dispatcher's call at time now and reports whether it was accepted.
func (c *Control) Apply(now dispatch.Stamp, call dispatch.Call) bool {
	if c.unfenced {
		c.dispatcher = max(c.dispatcher, call.DispatcherFence)
		return true
	}
	c.expireLease(now)
	if call.Kind == dispatch.Hello {
		if call.DispatcherFence < c.dispatcher {
			return false
		}
		c.dispatcher = call.DispatcherFence
		return true
	}
	if call.DispatcherFence != c.dispatcher {
		return false
	}
	switch call.Kind {
	case dispatch.Renew:
		if call.Stamp > now {
			return false
		}
		if end := call.Stamp + dispatch.Stamp(call.TTL); end > now {
			c.leaseEnd = max(c.leaseEnd, end)
		}
		return true
	case dispatch.GrantUnits:
		return c.grant(call.Grants)
	case dispatch.RevokeUnits:
		c.revoke(call.Grants)
		return true
	default:
		return false
	}
}

func (c *Control) grant(grants []fleet.Grant) bool {
	if c.leaseEnd == 0 {
		return false
	}
	for _, g := range grants {
		if g.Fence <= c.revokedFences[g.Unit] || g.Fence < c.grants[g.Unit] {
			return false
		}
	}
	for _, g := range grants {
		c.grants[g.Unit] = g.Fence
	}
	return true
}

func (c *Control) revoke(grants []fleet.Grant) {
	for _, g := range grants {
		c.revokedFences[g.Unit] = max(c.revokedFences[g.Unit], g.Fence)
		if c.grants[g.Unit] <= g.Fence {
			delete(c.grants, g.Unit)
		}
	}
}

// Dispatcher returns the highest dispatcher fence that the upstream has seen.
func (c *Control) Dispatcher() fleet.Fence { return c.dispatcher }

// LeaseEnd returns the end of the lease, or 0 if there is none.
func (c *Control) LeaseEnd() dispatch.Stamp { return c.leaseEnd }

// MayRun reports whether a request may run: whether the upstream owns the unit under
// exactly this fence, or does not check fences.
func (c *Control) MayRun(now dispatch.Stamp, unit fleet.Unit, fence fleet.Fence) bool {
	if c.unfenced {
		return true
	}
	held, ok := c.Held(now, unit)
	return ok && held == fence
}

// Held returns the fence under which the upstream owns the unit, or false if it does
// not own it.
func (c *Control) Held(now dispatch.Stamp, unit fleet.Unit) (fleet.Fence, bool) {
	c.expireLease(now)
	held, ok := c.grants[unit]
	return held, ok
}

// callKinds maps the last path segment of a control call's URL to its kind.
var callKinds = map[string]dispatch.CallKind{
	"hello": dispatch.Hello, "renew": dispatch.Renew, "grant": dispatch.GrantUnits, "revoke": dispatch.RevokeUnits,
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	s.delayNewConn(r.RemoteAddr)
	kind, ok := callKinds[r.PathValue("kind")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call, err := wire.DecodeCall(kind, s.cfg.Service, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	now := s.clock()
	accepted := s.control.Apply(now, call)
	reply := dispatch.Reply{Boot: s.boot, Stamp: now, Fence: s.control.dispatcher, Running: s.running - s.runningBy[s.control.dispatcher]}
	f := s.faults.activeAt(time.Now())
	s.mu.Unlock()
	f.delayResponse(r.Context())
	w.Header().Set("Content-Type", "application/json")
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = w.Write(wire.EncodeReply(reply))
}
