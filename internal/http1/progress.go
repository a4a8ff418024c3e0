package http1

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// phase is the part of a request that a connection is receiving.
type phase int

const (
	phaseNone phase = iota // no part of a request has arrived, or the pipeline is full
	phaseHead
	phaseBody
)

const (
	// progressWindow is the time in which a body has to bring ServerConfig.MinRate. It is
	// several times as long as links are cut for, so that a sender on such a link is served.
	progressWindow = 15 * time.Second
	// progressStep is the number of bytes that count as progress when the slowest senders
	// are looked for. A sender of single bytes makes none.
	progressStep = 4 << 10
)

// errIncomplete ends the reading of a request that the server does not wait for any longer.
// serverConn.incomplete states why.
var errIncomplete = errors.New("the request is not waited for any longer")

// progress is how far a connection has received a request.
type progress struct {
	phase       phase
	startedAt   time.Time // of the phase
	windowAt    time.Time // start of the current progressWindow
	windowBytes int64
	steppedAt   time.Time // when the last progressStep was complete
	stepBytes   int64
}

// begin starts a phase.
func (p *progress) begin(now time.Time, ph phase) {
	*p = progress{phase: ph, startedAt: now, windowAt: now, steppedAt: now}
}

// add counts n received bytes.
func (p *progress) add(now time.Time, n int) {
	p.windowBytes += int64(n)
	if p.stepBytes += int64(n); p.stepBytes >= progressStep {
		p.stepBytes, p.steppedAt = 0, now
	}
}

// late returns the cause for which the phase has to end, empty if it may go on. minRate is in
// bytes per second, 0 if there is none.
func (p *progress) late(now time.Time, headTimeout time.Duration, minRate int) CloseCause {
	switch p.phase {
	case phaseHead:
		if headTimeout > 0 && now.Sub(p.startedAt) >= headTimeout {
			return ClosedSlowHead
		}
	case phaseBody:
		window := now.Sub(p.windowAt)
		if minRate <= 0 || window < progressWindow {
			return ""
		}
		if float64(p.windowBytes) < float64(minRate)*progressWindow.Seconds() {
			return ClosedSlowBody
		}
		p.windowAt, p.windowBytes = now, 0
	}
	return ""
}

// bounded reports whether late bounds the phase.
func (p *progress) bounded(headTimeout time.Duration, minRate int) bool {
	return p.phase == phaseHead && headTimeout > 0 || p.phase == phaseBody && minRate > 0
}

// beginPhase records the part of a request that is received next.
func (c *serverConn) beginPhase(ph phase) {
	now := time.Now()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.progress.begin(now, ph)
	c.clearExpiry()
}

// clearExpiry takes back the end of the connection that expire has requested. The caller
// holds Server.mu.
func (c *serverConn) clearExpiry() {
	if c.expired == "" || c.closing {
		return // if the connection is closing, its read deadline bounds that
	}
	if c.expired == ClosedEvicted {
		c.evicted = false
		c.server.evicting--
	}
	c.expired = ""
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// expire makes the read loop end the connection, or refuse the request that it receives, if
// nothing has arrived meanwhile. The caller holds Server.mu.
func (c *serverConn) expire(cause CloseCause) {
	c.expired = cause
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the read loop; fails only on a closed connection
}

// refusable reports whether a request that is being received can be refused in place of
// closing the connection. The caller holds Server.mu.
func (c *serverConn) refusable() bool {
	switch c.expired {
	case ClosedSlowHead, ClosedSlowBody, ClosedEvicted:
		return c.progress.phase != phaseNone
	}
	return false
}

// refuseIncomplete refuses a request whose head is not waited for any longer.
func (c *serverConn) refuseIncomplete() {
	cause := c.incompleteCause()
	if cause == ClosedEvicted {
		c.refuse(http.StatusServiceUnavailable, cause)
		return
	}
	c.refuse(http.StatusRequestTimeout, cause)
}

// incompleteError returns the error of a body that is not waited for any longer.
func (c *serverConn) incompleteError() error {
	if c.incompleteCause() == ClosedEvicted {
		return ErrRequestBodyBudget
	}
	return ErrRequestBodySlow
}

func (c *serverConn) incompleteCause() CloseCause {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.setClosing(c.incomplete, false)
	return c.incomplete
}
