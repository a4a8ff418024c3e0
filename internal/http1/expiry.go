package http1

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// isExpired reports whether a read has failed with err because of closeIdle.
func (c *serverConn) isExpired(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.expired != "" && !c.closing
}

// readArrived reads bytes that have arrived before a deadline in the past was set. A read
// with such a deadline fails without looking for them.
func (c *serverConn) readArrived(p []byte) (n int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	var readErr error
	if err := raw.Read(func(fd uintptr) bool {
		for readErr = syscall.EINTR; errors.Is(readErr, syscall.EINTR); {
			n, readErr = syscall.Read(int(fd), p)
		}
		return true // else it would wait for bytes
	}); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// applyExpiry decides, after a read that returned n and err, whether a connection that
// closeIdle has marked as expired closes. It returns the error that ends the read loop.
func (c *serverConn) applyExpiry(n int, err error) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 {
		c.receivedAt = time.Now()
		c.progress.add(c.receivedAt, n)
	}
	switch {
	case c.closing, err != nil && !timedOut, err == nil && c.expired == "":
		return err
	case n == 0 && c.refusable():
		c.incomplete, c.expired = c.expired, ""
		if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
			return err
		}
		return errIncomplete
	case n == 0 && c.expired != "":
		c.setClosing(c.expired, true)
		return err
	}
	c.clearExpiry()
	return c.Conn.SetReadDeadline(time.Time{})
}
