package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	wire "github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Control is what dispatchers have told an upstream. An unfenced one accepts
// every call and checks nothing.
type Control struct {
	unfenced   bool
	dispatcher fleet.Fence    // highest seen
	leaseEnd   dispatch.Stamp // 0: no lease
	grants     map[fleet.Unit]fleet.Fence
	floors     map[fleet.Unit]fleet.Fence // highest revoked; a delayed grant is not above it
}

// NewControl returns the state of an upstream that has just started.
func NewControl(unfenced bool) Control {
	return Control{unfenced: unfenced, grants: make(map[fleet.Unit]fleet.Fence), floors: make(map[fleet.Unit]fleet.Fence)}
}

// lapse drops all grants if the lease has ended.
func (c *Control) lapse(now dispatch.Stamp) {
	if c.leaseEnd != 0 && now >= c.leaseEnd {
		c.leaseEnd = 0
		clear(c.grants)
	}
}

// Apply executes a call and reports whether it was accepted.
func (c *Control) Apply(now dispatch.Stamp, call dispatch.Call) bool {
	if c.unfenced {
		c.dispatcher = max(c.dispatcher, call.DispatcherFence)
		return true
	}
	c.lapse(now)
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
		if g.Fence <= c.floors[g.Unit] || g.Fence < c.grants[g.Unit] {
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
		c.floors[g.Unit] = max(c.floors[g.Unit], g.Fence)
		if c.grants[g.Unit] <= g.Fence {
			delete(c.grants, g.Unit)
		}
	}
}

// Dispatcher returns the highest dispatcher fence that the upstream has seen.
func (c *Control) Dispatcher() fleet.Fence { return c.dispatcher }

// LeaseEnd returns the end of the lease, or 0 if there is none.
func (c *Control) LeaseEnd() dispatch.Stamp { return c.leaseEnd }

// Holds reports whether a request for the unit under the fence may run.
func (c *Control) Holds(now dispatch.Stamp, unit fleet.Unit, fence fleet.Fence) bool {
	if c.unfenced {
		return true
	}
	held, ok := c.Held(now, unit)
	return ok && held == fence
}

// Held returns the fence under which the upstream owns the unit.
func (c *Control) Held(now dispatch.Stamp, unit fleet.Unit) (fleet.Fence, bool) {
	c.lapse(now)
	held, ok := c.grants[unit]
	return held, ok
}

var kinds = map[string]dispatch.CallKind{
	"hello": dispatch.Hello, "renew": dispatch.Renew, "grant": dispatch.GrantUnits, "revoke": dispatch.RevokeUnits,
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	s.connect(r.RemoteAddr)
	kind, ok := kinds[r.PathValue("kind")]
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
	now := s.stamp()
	accepted := s.control.Apply(now, call)
	reply := dispatch.Reply{Boot: s.boot, Stamp: now, Fence: s.control.dispatcher, Running: s.running - s.runningBy[s.control.dispatcher]}
	f := s.faults.at(time.Now())
	s.mu.Unlock()
	f.delayAnswer(r.Context())
	w.Header().Set("Content-Type", "application/json")
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = w.Write(wire.EncodeReply(reply))
}
