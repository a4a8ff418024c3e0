package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

// bodyUntilClose begins a response whose body ends with its connection.
const bodyUntilClose = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\n"

// tries is how often a case is repeated that depends on which call sees the end of a
// connection first.
const tries = 20

// Guards against a part of a body that is returned as a complete response, because the write of
// the request has received the error of the reset and the read then finds the end of the stream.
func TestResetEndsNoBody(t *testing.T) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 8 << 20} { // bytes of the request
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, reset after %v", size, delay), func(t *testing.T) {
				t.Parallel()
				addr := startPeer(t, func(c *net.TCPConn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err == nil {
						_, _ = io.WriteString(c, bodyUntilClose+"part")
						<-time.After(delay)
						_ = c.SetLinger(0)
					}
				})
				tr := NewTransport(writeConfig())
				complete := 0
				for range tries {
					res, err := tr.Do(t.Context(), addr, post(size), nil)
					var lost *LostError
					if err == nil {
						complete++
						t.Logf("status %d, body %q", res.Status, res.Body)
					} else if !errors.As(err, &lost) {
						t.Errorf("Do = %v, want a LostError", err)
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d cut responses are complete, want none", complete, tries)
				}
				within(t, "ending the write", func() { awaitNothingUnderWay(tr) })
			})
		}
	}
}

// Guards against a part of a framed body that either client returns as a complete one after a
// reset during an upload, and against a Pool that returns a body up to the end of its connection.
func TestResetEndsNoFramedBody(t *testing.T) {
	long := strings.Repeat("x", 150_000)
	for name, response := range map[string]string{
		"until close":           bodyUntilClose + "part",
		"length":                "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\npart",
		"stream":                "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long,
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"chunks without an end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
		"head":                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
		"behind an interim one": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, after %v", name, delay), func(t *testing.T) {
				t.Parallel()
				addr := startPeer(t, func(c *net.TCPConn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err == nil {
						_, _ = io.WriteString(c, response)
						<-time.After(delay)
						_ = c.SetLinger(0)
					}
				})
				tr, pool := NewTransport(writeConfig()), newPool(t, addr)
				for range tries {
					res, err := tr.Do(t.Context(), addr, post(8<<20), nil)
					if err == nil && res.Stream != nil {
						_, err = io.Copy(io.Discard, res.Stream)
					}
					if err == nil {
						t.Errorf("Transport: response %+v, want an error", res)
					}
					if res, err := pool.Do(t.Context(), &Request{Method: http.MethodPost, Target: "/", Body: make([]byte, 8<<20)}); err == nil {
						t.Errorf("Pool: response %+v, want an error", res)
					}
				}
			})
		}
	}
}

// Guards against complete responses that are refused: bodies up to the end of their connection,
// also if they end before the request has been written, and bodies with a length or in chunks.
func TestSoundEndsOfBodies(t *testing.T) {
	const (
		withLength = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ncomplete"
		inChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ncomplete\r\n0\r\n\r\n"
	)
	// afterRequest and beforeRequest return peers that respond after they have read the request,
	// or before that.
	afterRequest := func(parts ...string) func(*net.TCPConn, io.Reader) error {
		return func(c *net.TCPConn, body io.Reader) error {
			_, err := io.Copy(io.Discard, body)
			for _, part := range parts {
				_, _ = io.WriteString(c, part)
				<-time.After(time.Duration(len(parts)-1) * 10 * time.Millisecond)
			}
			return err
		}
	}
	beforeRequest := func(response string, then func(*net.TCPConn, io.Reader) error) func(*net.TCPConn, io.Reader) error {
		return func(c *net.TCPConn, body io.Reader) error {
			_, _ = io.WriteString(c, response)
			return then(c, body)
		}
	}
	tests := map[string]struct {
		serve func(c *net.TCPConn, body io.Reader) error
		kept  bool // the peer reads further requests
	}{
		"length":                       {afterRequest(withLength), true},
		"chunks":                       {afterRequest(inChunks), true},
		"until close":                  {afterRequest(bodyUntilClose + "complete"), false},
		"until close, slow":            {afterRequest(bodyUntilClose, "com", "plete"), false},
		"until close, rest at the end": {beforeRequest(bodyUntilClose+"comp", afterRequest("lete")), false},
		"until close, early, request is read": {beforeRequest(bodyUntilClose+"complete", func(c *net.TCPConn, body io.Reader) error {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body) // the client may end it
			return nil
		}), false},
		"until close, early, request is not read": {beforeRequest(bodyUntilClose+"complete", func(c *net.TCPConn, _ io.Reader) error {
			_ = c.CloseWrite()
			<-t.Context().Done()
			return nil
		}), false},
	}
	for name, tc := range tests {
		for _, size := range []int{0, 1 << 10, 64 << 10, 8 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				t.Parallel()
				addr := startPeer(t, func(c *net.TCPConn, r *bufio.Reader) {
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						if err := tc.serve(c, req.Body); err != nil {
							t.Error("read request:", err)
						}
						if !tc.kept {
							return
						}
					}
				})
				tr := NewTransport(writeConfig())
				defer tr.CloseIdle(addr)
				for range tries {
					begin := time.Now()
					res, err := tr.Do(t.Context(), addr, post(size), nil)
					if err != nil {
						t.Error(err)
						continue
					}
					if took := time.Since(begin); took >= defaultWriteStallTimeout {
						t.Errorf("Do took %v, as if it waited for the write of the request", took)
					}
					if diff := cmp.Diff("complete", string(res.Body)); diff != "" {
						t.Error(diff)
					}
				}
			})
		}
	}
}

// Guards against a complete body up to the end of its connection that is refused because the
// peer resets the connection afterwards, which the write of the request finds first.
func TestResetBehindEndOfBody(t *testing.T) {
	closed := make(chan struct{})
	addr := startPeer(t, func(c *net.TCPConn, r *bufio.Reader) {
		defer func() { closed <- struct{}{} }()
		if _, err := http.ReadRequest(r); err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(c, bodyUntilClose+"complete")
		if err := c.CloseWrite(); err != nil {
			t.Error(err)
		}
		if err := awaitEndReceived(c); err != nil { // a reset may overtake what was sent before it
			t.Error(err)
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	tr := NewTransport(writeConfig())
	for _, size := range []int{1 << 10, 64 << 10, 8 << 20} {
		for range tries {
			res, err := tr.Do(t.Context(), addr, post(size), func(*Response) error {
				<-closed
				<-time.After(5 * time.Millisecond) // until the reset has arrived
				return nil
			})
			if err != nil {
				t.Errorf("%d bytes: %v", size, err)
			} else if diff := cmp.Diff("complete", string(res.Body)); diff != "" {
				t.Errorf("%d bytes: %s", size, diff)
			}
		}
	}
}

// awaitEndReceived waits until the peer has acknowledged the FIN that CloseWrite has sent on c.
func awaitEndReceived(c *net.TCPConn) error {
	const finWait1 = 4 // of the states in tcp_info
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	for state := uint8(finWait1); state == finWait1; time.Sleep(100 * time.Microsecond) {
		var infoErr error
		if err := raw.Control(func(fd uintptr) {
			var info *unix.TCPInfo
			if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
				state = info.State
			}
		}); err != nil {
			return err
		}
		if infoErr != nil {
			return infoErr
		}
	}
	return nil
}
