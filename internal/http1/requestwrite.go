package http1

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxJoinedBody is the size in bytes up to which a body is copied behind its head, so that
	// both go out in one write. A longer body is written while the response is read.
	maxJoinedBody = 16 << 10
	// writePieceSize is the size in bytes of the pieces in which a long body is written. Each
	// one is copied first, so that the caller's memory is not used after Do.
	writePieceSize = 32 << 10
	// sendBufferSize is the size in bytes of the send buffer of a connection with a long body.
	// The system's own may grow to 4 MiB, which hides for long that a peer reads nothing. This
	// one carries 64 MB/s over a round trip of 1 ms.
	sendBufferSize = 64 << 10
	// defaultWriteStallTimeout is longer than an upstream with a full queue may leave a body
	// unread until the request's turn comes, which is 1 to 3 s.
	defaultWriteStallTimeout = 5 * time.Second
	// writeChecks is how often progress is checked in the stall timeout.
	writeChecks = 5
	// lateResponseTimeout is how long a response is awaited after writing has failed. What the
	// peer sent before it reset the connection has mostly arrived by then.
	lateResponseTimeout = time.Second
)

// Bounds on what remains of a body when the complete response has arrived. A connection whose
// rest exceeds one is reset.
const (
	maxRest     = 1 << 20         // bytes of one rest
	maxRests    = 4 << 20         // bytes of all rests of a Transport
	restTimeout = 5 * time.Second // until a rest has been written
)

// maxBodiesUnderWay bounds the long bodies, in bytes together, that a Transport has under way
// to one address. It covers the requests in a long queue, some tens with a few hundred kB each.
// Beside them, one body above the bound may be under way, so that a body of any size is sent.
const maxBodiesUnderWay = 8 << 20

// Errors of long bodies.
var (
	// ErrBodiesUnderWay means that a request was not sent because of maxBodiesUnderWay.
	ErrBodiesUnderWay = errors.New("too many body bytes are under way to the address")
	// ErrWriteStalled means that the peer took no byte of a body for the stall timeout.
	ErrWriteStalled = errors.New("the peer has stopped reading the request")
	// errWriteEnded means that the rest of a body is not written because its request has ended.
	errWriteEnded = errors.New("the request has ended")
)

// bodySize returns the size of the body in bytes.
func (r *Request) bodySize() int64 {
	if len(r.Body) > 0 {
		return int64(len(r.Body))
	}
	return totalSize(r.Chunks)
}

// bodyChunks returns the body in chunks.
func (r *Request) bodyChunks() [][]byte {
	if len(r.Body) > 0 {
		return [][]byte{r.Body}
	}
	return r.Chunks
}

func totalSize(chunks [][]byte) int64 {
	n := 0
	for _, chunk := range chunks {
		n += len(chunk)
	}
	return int64(n)
}

// writeStart writes the head of req, and its body unless that is long. It returns the number
// of bytes that were written.
func writeStart(w io.Writer, addr string, req *Request, bodySize int64) (int, error) {
	head := encodeHead(addr, req, bodySize)
	if bodySize <= maxJoinedBody {
		for _, chunk := range req.bodyChunks() {
			head = append(head, chunk...)
		}
	}
	return w.Write(head)
}

// encodeHead returns the head of req, whose body has bodySize bytes. The slice has room for
// a body that is joined to it.
func encodeHead(addr string, req *Request, bodySize int64) []byte {
	var b bytes.Buffer
	host := req.Host
	if host == "" {
		host = addr
	}
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + host + "\r\n")
	_ = req.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if bodySize > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.FormatInt(bodySize, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	if bodySize <= maxJoinedBody {
		b.Grow(int(bodySize))
	}
	return b.Bytes()
}

var pieceBuffers = sync.Pool{New: func() any { return new([writePieceSize]byte) }}

// bodyWriter writes a long body while the response is read. Its methods may be called
// concurrently.
type bodyWriter struct {
	conn  net.Conn
	stall time.Duration
	share *bodyShare    // held from start until dropShare
	done  chan struct{} // closed by finish

	dropOnce sync.Once
	mu       sync.Mutex
	rest     [][]byte // not copied for writing yet
	started  bool     // the share is held
	answered bool     // the response has begun to arrive
	ended    bool     // the request has ended, so that nothing more is written
	finished bool     // nothing more is written, for whatever reason
	err      error    // why the body is incomplete; set when finished
	// due is the time until which a rest must have been written, and whenFinished is called
	// with the result. Both are set once the response is complete.
	due          time.Time
	whenFinished func(err error)
}

// newBodyWriter returns a writer of the body of req, or nil if the body is not long.
func newBodyWriter(pc *persistentConn, req *Request, share *bodyShare, stall time.Duration) *bodyWriter {
	if share == nil {
		return nil
	}
	if tcp, ok := pc.conn.(*net.TCPConn); ok && !pc.boundedSend {
		_ = tcp.SetWriteBuffer(sendBufferSize) // if it fails, the system's size applies
		pc.boundedSend = true
	}
	if stall <= 0 {
		stall = defaultWriteStallTimeout
	}
	return &bodyWriter{conn: pc.conn, stall: stall, share: share, done: make(chan struct{}), rest: append([][]byte(nil), req.bodyChunks()...)}
}

// start writes the body on a goroutine of its own.
func (w *bodyWriter) start() {
	w.share.holders.Add(1)
	w.mu.Lock()
	w.started = true
	w.mu.Unlock()
	go w.run()
}

// dropShare drops the share of w, once.
func (w *bodyWriter) dropShare() { w.dropOnce.Do(w.share.drop) }

func (w *bodyWriter) run() {
	defer w.dropShare()
	buf := pieceBuffers.Get().(*[writePieceSize]byte)
	defer pieceBuffers.Put(buf)
	for {
		n := w.next(buf[:])
		if n == 0 {
			w.finish(nil)
			return
		}
		if err := w.writePiece(buf[:n]); err != nil {
			w.finish(err)
			return
		}
	}
}

// next copies the next bytes of the body to p. It returns 0 at the end of the body.
func (w *bodyWriter) next(p []byte) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < len(p) && len(w.rest) > 0 {
		copied := copy(p[n:], w.rest[0])
		n += copied
		if w.rest[0] = w.rest[0][copied:]; len(w.rest[0]) == 0 {
			w.rest[0] = nil // its memory may be freed
			w.rest = w.rest[1:]
		}
	}
	return n
}

// writePiece writes p. It fails if the peer takes no byte for the stall timeout.
func (w *bodyWriter) writePiece(p []byte) error {
	progressAt := time.Now()
	for {
		if err := w.arm(time.Now(), progressAt); err != nil {
			return err
		}
		n, err := w.conn.Write(p)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if p = p[n:]; n > 0 {
			progressAt = time.Now()
		}
	}
}

// arm sets the time limit of the next write. The limit is a part of the stall timeout, since
// a write that ends at it does not tell when it made progress. arm returns an error if the
// last progress is too long ago.
func (w *bodyWriter) arm(now, progressAt time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ended:
		return errWriteEnded
	case now.Sub(progressAt) >= w.stall, !w.due.IsZero() && !now.Before(w.due):
		return ErrWriteStalled
	}
	return w.conn.SetWriteDeadline(now.Add(w.stall / writeChecks))
}

// finish records that nothing more is written. If writing has failed and no response has
// begun to arrive, waiting for one ends: at once after a stall, else after the time in which
// a response that the peer sent before it closed the connection arrives. It is called once.
func (w *bodyWriter) finish(err error) {
	defer close(w.done)
	w.mu.Lock()
	if w.ended && err == nil {
		err = errWriteEnded
	}
	w.rest, w.finished, w.err = nil, true, err
	switch {
	case w.ended:
	case err == nil:
		_ = w.conn.SetWriteDeadline(time.Time{}) // fails only on a closed connection
	case w.answered:
	case errors.Is(err, ErrWriteStalled):
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	default:
		_ = w.conn.SetReadDeadline(time.Now().Add(lateResponseTimeout))
	}
	whenFinished := w.whenFinished
	w.mu.Unlock()
	if whenFinished != nil {
		whenFinished(err)
	}
}

// noteResponse records that the response has begun to arrive. It reports whether a part of
// the body is not written, which is so if the peer has not read all of it.
func (w *bodyWriter) noteResponse() (early bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = true
	if w.err != nil && !w.ended {
		_ = w.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return w.err != nil || len(w.rest) > 0
}

// accepting returns accept, which notes the response that it accepts too.
func (w *bodyWriter) accepting(accept func(*Response) error) func(*Response) error {
	return func(res *Response) error {
		if accept != nil {
			if err := accept(res); err != nil {
				return err
			}
		}
		res.Early = w.noteResponse()
		return nil
	}
}

// cancel ends writing and reading at once.
func (w *bodyWriter) cancel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rest, w.ended = nil, true
	_ = w.conn.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// abandon releases the rest of the body and its share, so that the next request finds room
// before the write in progress has ended. The caller resets the connection, which ends it.
func (w *bodyWriter) abandon() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.rest, w.ended = nil, true
	started := w.started
	w.mu.Unlock()
	if started {
		w.dropShare()
	}
}

// failure returns why writing has failed, or nil.
func (w *bodyWriter) failure() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// finishLater calls f with the result once the body has been written, or has failed to be.
// What is not written yet is copied. It returns false if writing has failed or the rest is
// too large.
func (w *bodyWriter) finishLater(now time.Time, budget *BodyBudget, f func(err error)) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	size := totalSize(w.rest)
	if w.err != nil || w.ended || size > maxRest || !budget.reserve(size) {
		return false
	}
	if w.finished {
		budget.free(size)
		go f(nil) // not with the lock held
		return true
	}
	w.rest = [][]byte{bytes.Join(w.rest, nil)}
	w.whenFinished = func(err error) {
		budget.free(size)
		f(err)
	}
	w.due = now.Add(restTimeout)
	return true
}

// settle keeps or closes pc after the complete response res. keep states that it may serve
// further requests. It does so only after the rest of a body that w still writes.
//
// After a response to a long body that is no success, pc is closed in any case: a peer that
// refuses a body without reading it often closes the connection then, without saying so in
// the response, and the next request would be lost.
func (t *Transport) settle(addr string, pc *persistentConn, res *Response, w *bodyWriter, keep bool) {
	if w == nil {
		t.release(addr, pc, res, keep)
		return
	}
	keep = keep && res.Status >= 200 && res.Status < 300
	if w.complete() {
		t.release(addr, pc, res, keep)
		return
	}
	later := keep && w.finishLater(time.Now(), t.rests, func(err error) {
		if err != nil {
			pc.reset()
			return
		}
		t.release(addr, pc, res, true)
	})
	if !later {
		w.abandon()
		pc.reset()
	}
}

// release keeps pc for further requests, or closes it.
func (t *Transport) release(addr string, pc *persistentConn, res *Response, keep bool) {
	if !keep || !t.putIdle(addr, pc, res, time.Now()) {
		_ = pc.conn.Close()
	}
}

// complete reports whether the whole body has been written.
func (w *bodyWriter) complete() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finished && w.err == nil
}

// underWay is what a Transport has under way to an address.
type underWay struct {
	bytes int64 // of long bodies up to maxBodiesUnderWay
	large int64 // size of the body above it; 0: none
}

// bodyShare is the share of a body in what is under way to an address. It is released once
// the attempt has ended and nothing more is written. A nil share is that of a short body.
type bodyShare struct {
	transport *Transport
	addr      string
	size      int64
	holders   atomic.Int32 // the call of Do, and the writer
}

// reserve returns the share of a body of size bytes, or ErrBodiesUnderWay.
func (t *Transport) reserve(addr string, size int64) (*bodyShare, error) {
	if size <= maxJoinedBody {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.underWay[addr]
	if size > maxBodiesUnderWay {
		if u.large > 0 {
			return nil, ErrBodiesUnderWay
		}
		u.large = size
	} else if u.bytes += size; u.bytes > maxBodiesUnderWay {
		return nil, ErrBodiesUnderWay
	}
	t.underWay[addr] = u
	t.underWayTotal += size
	s := &bodyShare{transport: t, addr: addr, size: size}
	s.holders.Store(1)
	return s, nil
}

// drop releases the share if no other holder is left.
func (s *bodyShare) drop() {
	if s == nil || s.holders.Add(-1) > 0 {
		return
	}
	t := s.transport
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.underWay[s.addr]
	if s.size > maxBodiesUnderWay {
		u.large = 0
	} else {
		u.bytes -= s.size
	}
	t.underWayTotal -= s.size
	if t.underWay[s.addr] = u; u == (underWay{}) {
		delete(t.underWay, s.addr)
	}
}

// BytesUnderWay returns the bytes of long bodies that are under way to all addresses.
func (t *Transport) BytesUnderWay() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.underWayTotal
}
