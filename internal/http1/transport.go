package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Transport sends requests over kept connections to any number of addresses. In
// contrast to Pool it can skip an answer that belongs to an earlier request, and
// it accepts an answer whose end is the end of its connection. nbhttp's client
// does neither, so this one parses answers with net/http.
type Transport struct {
	cfg TransportConfig

	mu   sync.Mutex
	idle map[string][]*link // most recently used last
}

// TransportConfig bounds a transport.
type TransportConfig struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration // a connection that was idle for longer is not used
	MaxBody     int64         // bytes of an answer
	MaxIdle     int           // connections kept for each address
	// TurnsAway is set for peers that accept a connection and reset it at once when they
	// have too many. A request that is written before the reset arrives may have run as
	// far as the caller knows, so a new connection is used only once that would have
	// happened.
	TurnsAway bool
	// AllSilent closes every idle connection to an address that did not answer on one:
	// the others may be silent too. It suits an address that answers at once.
	AllSilent bool
}

// keepAliveMargin is taken off the time that a peer promises to keep an idle
// connection, so that a request does not cross the peer's close.
const keepAliveMargin = 1500 * time.Millisecond

// ErrTurnedAway reports a peer that closed a new connection at once.
var ErrTurnedAway = errors.New("connection closed by the peer right after it was opened")

const (
	// turnAwayTrips is the time, in round trips, in which the reset of a new connection
	// arrives, and turnAwayMargin what the peer takes besides.
	turnAwayTrips  = 1.5
	turnAwayMargin = time.Millisecond
	// maxTurnAway bounds it where opening took long for another reason.
	maxTurnAway = 10 * time.Millisecond
)

// ErrBodyTooLarge reports an answer above TransportConfig.MaxBody.
var ErrBodyTooLarge = errors.New("answer exceeds the maximum body size")

// NewTransport returns a transport without connections.
func NewTransport(cfg TransportConfig) *Transport {
	return &Transport{cfg: cfg, idle: make(map[string][]*link)}
}

// link is a connection that carries one request at a time.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// Forget closes the idle connections to addr.
func (t *Transport) Forget(addr string) {
	t.mu.Lock()
	links := t.idle[addr]
	delete(t.idle, addr)
	t.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (t *Transport) CloseExpired(now time.Time) {
	var expired []*link
	t.mu.Lock()
	for addr, links := range t.idle {
		kept := links[:0]
		for _, l := range links {
			if now.Before(l.expires) {
				kept = append(kept, l)
			} else {
				expired = append(expired, l)
			}
		}
		if t.idle[addr] = kept; len(kept) == 0 {
			delete(t.idle, addr)
		}
	}
	t.mu.Unlock()
	for _, l := range expired {
		_ = l.conn.Close()
	}
}

// Do sends req to addr and returns the first whole answer that own accepts; a nil
// own accepts each. The error is a *NotSentError or a *LostError. The connection
// is closed when ctx ends first.
func (t *Transport) Do(ctx context.Context, addr string, req *Request, own func(*Response) bool) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	for {
		l, reused, err := t.get(ctx, addr)
		if err != nil {
			return nil, &NotSentError{Addr: addr, Err: err}
		}
		stop := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(time.Unix(1, 0)) })
		n, err := l.conn.Write(encodeRequest(addr, req))
		if err != nil {
			stop()
			l.reset()
			if n > 0 {
				return nil, &LostError{Addr: addr, Err: err}
			}
			if reused && ctx.Err() == nil {
				continue // the peer closed an idle connection
			}
			return nil, &NotSentError{Addr: addr, Err: err}
		}
		res, keep, err := l.read(req.Method, t.cfg.MaxBody, own)
		if !stop() || err != nil {
			keep = false
		}
		if ctx.Err() != nil {
			l.reset()
		} else if !keep || !t.put(addr, l, res, time.Now()) {
			_ = l.conn.Close()
		}
		if err != nil {
			if t.cfg.AllSilent {
				t.Forget(addr)
			}
			if ctx.Err() != nil {
				err = ctx.Err()
			}
			return nil, &LostError{Addr: addr, Err: err}
		}
		return res, nil
	}
}

func (t *Transport) get(ctx context.Context, addr string) (l *link, reused bool, err error) {
	now := time.Now()
	for {
		l := t.pop(addr)
		if l == nil {
			break
		}
		if now.Before(l.expires) && l.quiet() {
			return l, true, nil
		}
		_ = l.conn.Close()
	}
	d := net.Dialer{Timeout: t.cfg.DialTimeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if t.cfg.TurnsAway && errors.Is(err, syscall.ECONNRESET) {
		return nil, false, ErrTurnedAway // reset before the dial had returned; nobody listening is ECONNREFUSED
	}
	if err != nil {
		return nil, false, err
	}
	if t.cfg.TurnsAway {
		trip := time.Since(now)
		if !staysOpen(conn, min(time.Duration(turnAwayTrips*float64(trip))+turnAwayMargin, maxTurnAway)) {
			_ = conn.Close()
			return nil, false, ErrTurnedAway
		}
	}
	return &link{conn: conn, reader: bufio.NewReaderSize(conn, 2<<10)}, false, nil
}

// staysOpen reports whether the peer neither closes the new connection nor sends
// anything on it for d.
func staysOpen(conn net.Conn, d time.Duration) bool {
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	var b [1]byte
	if _, err := conn.Read(b[:]); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return conn.SetReadDeadline(time.Time{}) == nil
}

func (t *Transport) pop(addr string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	links := t.idle[addr]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	t.idle[addr] = links[:len(links)-1]
	return l
}

// put keeps l for the next request, for as long as the peer says that it does.
func (t *Transport) put(addr string, l *link, res *Response, now time.Time) bool {
	keep := t.cfg.IdleTimeout
	if promised, ok := keepAlive(res.Header.Get("Keep-Alive")); ok {
		keep = min(keep, promised-keepAliveMargin)
	}
	if keep <= 0 {
		return false
	}
	l.expires = now.Add(keep)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[addr]) >= t.cfg.MaxIdle {
		return false
	}
	t.idle[addr] = append(t.idle[addr], l)
	return true
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(s) * time.Second, err == nil
	}
	return 0, false
}

// quiet reports whether the peer has neither closed the idle connection nor sent
// anything on it. Bytes that arrive without a request belong to no answer.
func (l *link) quiet() bool {
	sc, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return quiet && err == nil
}

// reset closes the connection such that bytes on their way are lost: a request that
// was given up must not arrive later.
func (l *link) reset() {
	if c, ok := l.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // fails only on a closed connection
	}
	_ = l.conn.Close()
}

func encodeRequest(addr string, req *Request) []byte {
	var b bytes.Buffer
	host := req.Host
	if host == "" {
		host = addr
	}
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = req.Header.Write(&b) // a buffer takes every write
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

// read returns the first answer that own accepts, and whether the connection can
// carry another request.
func (l *link) read(method string, maxBody int64, own func(*Response) bool) (*Response, bool, error) {
	for {
		res, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
		if err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
		if int64(len(body)) > maxBody {
			return nil, false, ErrBodyTooLarge
		}
		whole := &Response{Status: res.StatusCode, Header: res.Header, Trailer: res.Trailer, Body: body}
		if own != nil && !own(whole) {
			if res.Close {
				return nil, false, errors.New("connection closed after the answer to another request")
			}
			continue
		}
		return whole, !res.Close && l.reader.Buffered() == 0, nil
	}
}
