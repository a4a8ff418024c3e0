package http1

import "time"

const (
	// discardBufferSize is the size in bytes of the buffer for bytes that are not served.
	discardBufferSize = 2 << 10
	// maxDiscarded is the largest size in bytes of what is read after the last response,
	// unless a body was refused.
	maxDiscarded = 1 << 20
	// discardTimeout is how long the rest of a refused body is read, so that its sender gets
	// to the response, and discardIdleTimeout how long that waits for more of it.
	discardTimeout     = 10 * time.Second
	discardIdleTimeout = time.Second
)

// discard reads on without serving requests, until the connection ends.
func (c *serverConn) discard() error {
	buf := make([]byte, discardBufferSize)
	discarded := 0 // bytes since the last response was sent
	for {
		n, err := c.Conn.Read(buf)
		if err = c.applyExpiry(n, err); err != nil {
			return err
		}
		lingering, refusedBody, err := c.prolongLinger(time.Now())
		if err != nil {
			return err
		}
		if lingering {
			discarded += n
		}
		if discarded > maxDiscarded && !refusedBody {
			time.Sleep(lingerTimeout)
			return errConnClosing
		}
	}
}

// prolongLinger gives the sender of a refused body more time for its rest. It reports
// whether the last response was sent, and whether a body was refused.
func (c *serverConn) prolongLinger(now time.Time) (lingering, refusedBody bool, err error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	lingering = c.closing && !c.lingerSince.IsZero()
	if !lingering || !c.refusedBody {
		return lingering, c.refusedBody, nil
	}
	deadline := now.Add(discardIdleTimeout)
	if end := c.lingerSince.Add(discardTimeout); end.Before(deadline) {
		deadline = end
	}
	return true, true, c.Conn.SetReadDeadline(deadline)
}

// discarding reports whether a shutdown need not wait for the connection, because its last
// response was sent and only the rest of a refused body is read. The caller holds Server.mu.
func (c *serverConn) discarding(now time.Time) bool {
	return c.refusedBody && !c.lingerSince.IsZero() && now.Sub(c.lingerSince) > lingerTimeout
}
