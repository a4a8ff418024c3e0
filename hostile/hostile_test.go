package hostile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// client is a connection of a hostile client.
type client struct {
	net.Conn
	ctx  context.Context
	stop func() bool
}

// dial opens a connection, which ends with ctx. It returns nil if that fails.
func dial(ctx context.Context, to target) *client {
	d := net.Dialer{Timeout: 5 * time.Second}
	c, err := d.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		return nil
	}
	return &client{c, ctx, context.AfterFunc(ctx, func() { _ = c.Close() })}
}

func (c *client) end() { c.stop(); _ = c.Close() }

// hold waits until the connection ends, and reads nothing before if silent.
func (c *client) hold(silent bool) {
	if !silent {
		_, _ = io.Copy(io.Discard, c.Conn)
		return
	}
	// The end of the connection is seen by writing: an empty line behind requests.
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C:
		}
		_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := io.WriteString(c, "\r\n"); err != nil && !isTimeout(err) {
			return
		}
	}
}

func isTimeout(err error) bool { e, ok := err.(net.Error); return ok && e.Timeout() }

// head returns the head of a request with extra lines.
func head(method string, to target, n int, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: hostile-%d\r\nRequest-Deadline-Ms: 5000\r\nApi-Key: key\r\n%s\r\n", method, to.path, host, n, extra)
}

// eachTarget runs a test at each target, with an instance of its own.
func eachTarget(t *testing.T, f func(r *rig, to target)) {
	for i, name := range []string{"served", "no-route", "readiness"} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t)
			f(r, r.targets()[i])
		})
	}
}

// unfinished is a body of the legal size without its last byte.
var unfinished = bytes.Repeat([]byte("x"), maxBody-1)

// Guards against memory that bodies of legal size take which were sent in one piece and
// stop short of their end.
func TestUnfinishedBodiesInOnePiece(t *testing.T) {
	eachTarget(t, func(r *rig, to target) {
		r.attack(300, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			_, _ = io.WriteString(c, head("POST", to, n, fmt.Sprintf("Content-Length: %d\r\n", maxBody)))
			_, _ = c.Write(unfinished)
			sent()
			c.hold(false)
		})
	})
}

// Guards against memory and buffers of bodies that arrive in small pieces and stop short of
// their end.
func TestUnfinishedBodiesInSmallPieces(t *testing.T) {
	eachTarget(t, func(r *rig, to target) {
		r.attack(300, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			_, _ = io.WriteString(c, head("POST", to, n, fmt.Sprintf("Content-Length: %d\r\n", maxBody)))
			for rest := unfinished; len(rest) > 0; {
				n := min(len(rest), 1400)
				if _, err := c.Write(rest[:n]); err != nil {
					break
				}
				rest = rest[n:]
			}
			sent()
			c.hold(false)
		})
	})
}

// Guards against memory of bodies in many small chunks, without a stated length, that never
// end.
func TestUnfinishedChunkedBodies(t *testing.T) {
	piece := strings.Repeat("40\r\n"+strings.Repeat("y", 64)+"\r\n", 64)
	eachTarget(t, func(r *rig, to target) {
		r.attack(300, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			_, _ = io.WriteString(c, head("POST", to, n, "Transfer-Encoding: chunked\r\n"))
			for range (maxBody - 1) / (64 * 64) {
				if _, err := io.WriteString(c, piece); err != nil {
					break
				}
			}
			sent()
			c.hold(false)
		})
	})
}

// Guards against bodies over the limit that are kept, or read without end, whether they
// state their length or not.
func TestBodiesOverTheLimit(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<16, strings.Repeat("z", 1<<16))
	eachTarget(t, func(r *rig, to target) {
		r.attack(100, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			framing, piece := "Transfer-Encoding: chunked\r\n", chunk
			if n%2 == 0 {
				framing = fmt.Sprintf("Content-Length: %d\r\n", 1<<30)
			}
			_, _ = io.WriteString(c, head("POST", to, n, framing))
			for range 8 * maxBody / (1 << 16) {
				if _, err := io.WriteString(c, piece); err != nil {
					break
				}
			}
			sent()
			c.hold(false)
		})
	})
}

// Guards against memory of heads that are within their limit in bytes and have thousands of
// fields, in requests whose bodies are missing or whose answers are not read.
func TestManyShortFields(t *testing.T) {
	var fields strings.Builder
	for i := 0; fields.Len() < 15_900; i++ {
		fmt.Fprintf(&fields, "%s:\r\n", string([]byte{'a' + byte(i%26), 'a' + byte(i/26%26), 'a' + byte(i/676%26)}))
	}
	eachTarget(t, func(r *rig, to target) {
		r.attack(200, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			for i := range 16 {
				_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if _, err := io.WriteString(c, head("GET", to, 16*n+i, fields.String())); err != nil {
					break
				}
			}
			if n%2 == 0 {
				_, _ = io.WriteString(c, head("POST", to, n, "Content-Length: 10\r\n"+fields.String()))
			}
			sent()
			c.hold(n%2 == 1)
		})
	})
}

// Guards against memory of responses to requests that are pipelined on a connection whose
// client reads none of them.
func TestPipelinedWithoutReading(t *testing.T) {
	eachTarget(t, func(r *rig, to target) {
		large := to
		large.path += "?bytes=60000"
		r.attack(300, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			_ = c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			requests := strings.Repeat(head("GET", large, n, ""), 400)
			_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(c, requests) // the instance may stop reading
			sent()
			c.hold(true)
		})
	})
}

// Guards against descriptors and memory of clients that stop within a head, send it byte by
// byte, or send nothing.
func TestSlowHeads(t *testing.T) {
	eachTarget(t, func(r *rig, to target) {
		r.attack(900, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			switch text := head("GET", to, n, ""); n % 3 {
			case 0:
				sent()
				c.trickle(text, 1)
			case 1:
				_, _ = io.WriteString(c, text[:len(text)/2])
				sent()
			default:
				sent()
			}
			c.hold(false)
		})
	})
}

// trickle sends size bytes of text every 100 ms.
func (c *client) trickle(text string, size int) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Guards against descriptors and memory of clients that send a body very slowly or stop
// halfway.
func TestSlowBodies(t *testing.T) {
	eachTarget(t, func(r *rig, to target) {
		r.attack(900, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			_, _ = io.WriteString(c, head("POST", to, n, fmt.Sprintf("Content-Length: %d\r\n", maxBody)))
			if n%2 == 0 {
				_, _ = c.Write(unfinished[:maxBody/8])
				sent()
			} else {
				sent()
				c.trickle(string(unfinished), 10)
			}
			c.hold(false)
		})
	})
}

// Guards against memory and descriptors of clients that read their responses very slowly or
// stop reading halfway.
func TestSlowReaders(t *testing.T) {
	eachTarget(t, func(r *rig, to target) {
		large := to
		large.path += "?bytes=1000000"
		r.attack(500, func(ctx context.Context, n int, sent func()) {
			c := dial(ctx, to)
			if c == nil {
				return
			}
			defer c.end()
			_ = c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(c, head("GET", large, n, ""))
			sent()
			if n%2 == 0 {
				c.hold(true)
				return
			}
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for buf := make([]byte, 100); ; {
				if _, err := c.Read(buf); err != nil {
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	})
}
