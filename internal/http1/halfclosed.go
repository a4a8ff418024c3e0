package http1

import (
	"io"
	"time"
)

// interimResponse is sent to learn whether a peer that has closed its sending side has
// left. Every HTTP/1.1 client accepts it at any time before a response.
const interimResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// halfClosedProbes are the delays between interim responses. A peer that has left answers
// the first with a reset, which makes a later one fail. Their number stays below 5, the
// largest number of interim responses that some clients accept.
var halfClosedProbes = []time.Duration{0, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond}

// serveHalfClosed serves the requests in flight of a peer that has closed its sending side.
// It returns once their responses have been written, or the peer turns out to have left. TCP
// signals both in the same way; only bytes that are sent to the peer tell them apart.
func (c *serverConn) serveHalfClosed() {
	c.server.mu.Lock()
	failed := make(chan struct{})
	c.halfClosed = failed
	last, inFlight, http10 := c.pipeline.newest, c.pipeline.inFlight, c.pipeline.http10
	c.server.mu.Unlock()
	if inFlight == 0 || http10 {
		return // HTTP/1.0 has no interim responses
	}
	defer c.noteAnswered(last)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, delay := range halfClosedProbes {
		timer.Reset(delay)
		select {
		case <-last.done:
			return
		case <-failed:
			return
		case <-timer.C:
		}
		if err := c.writeInterim(); err != nil {
			return
		}
	}
	select {
	case <-last.done:
	case <-failed:
	}
}

// noteAnswered records why a half-closed connection closes if the response in slot last has
// been written.
func (c *serverConn) noteAnswered(last *responseSlot) {
	select {
	case <-last.done:
		c.server.mu.Lock()
		c.setClosing(ClosedHalf, true)
		c.server.mu.Unlock()
	default:
	}
}

// writeInterim sends an interim response, unless a response is being written.
func (c *serverConn) writeInterim() error {
	c.interimMu.Lock()
	defer c.interimMu.Unlock()
	c.server.mu.Lock()
	skip := c.pipeline.writing != nil || c.pipeline.inFlight == 0
	c.server.mu.Unlock()
	if skip {
		return nil
	}
	_, err := io.WriteString(c, interimResponse)
	return err
}

// wakeHalfClosed ends serveHalfClosed because the connection has failed. The caller holds
// Server.mu.
func (c *serverConn) wakeHalfClosed() {
	if c.halfClosed != nil {
		close(c.halfClosed)
		c.halfClosed = nil
	}
}
