package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const (
	// smallBodySize is the size in bytes of the first part of a request body, which counts in
	// ServerConfig.SmallBodies as long as that has room.
	smallBodySize = 64 << 10
	// minBodyChunk and maxBodyChunk bound the chunks in bytes in which a request body is kept.
	// A chunk is at most as large as all before it, so that a slow sender takes at most twice
	// the memory of what it has sent, or minBodyChunk.
	minBodyChunk = 4 << 10
	maxBodyChunk = 256 << 10
	// maxChunkLine is the largest size in bytes of a line with the size of a chunk, and
	// maxChunkExtras that of all chunk extensions and trailer fields of a body.
	maxChunkLine   = 1 << 10
	maxChunkExtras = 16 << 10
)

// Errors of request bodies that a server does not read completely.
var (
	ErrRequestBodyTooLarge = errors.New("request exceeds the maximum body size")
	ErrRequestBodyBudget   = errors.New("request bodies exceed the memory budget of the process")
	ErrRequestBodySlow     = errors.New("request body arrives too slowly")
	errMalformedChunk      = errors.New("malformed chunked encoding")
)

// requestBody is a received body in chunks, which are not copied again. They count in the
// budgets until Close.
type requestBody struct {
	chunks [][]byte // each is filled up to its capacity before the next one is added
	err    error    // why the body is incomplete; its request must not run

	// complete states that the end of the body has been read, so that another request can
	// follow it.
	complete bool
	// refused states that ServerConfig.CheckHead has refused the request.
	refused bool
	// awaitRoom makes room in the budgets at the cost of slower senders, and reports whether
	// condition holds then. It may be nil.
	awaitRoom func(condition func() bool) bool

	small, large           *BodyBudget
	takenSmall, takenLarge int64
	size                   int64 // bytes taken: the capacity of all chunks, and a large head
	read                   int   // chunks that Read has returned completely
	offset                 int   // bytes of the next chunk that Read has returned
}

// RequestBody returns the body of a request of a Server in chunks, which count in the
// budgets of the Server until the handler returns. The error states why the server has not
// read the body completely; such a request must be refused.
func RequestBody(r *http.Request) ([][]byte, error) {
	if b, ok := r.Body.(*requestBody); ok {
		return b.chunks, b.err
	}
	body, err := io.ReadAll(r.Body)
	return [][]byte{body}, err
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && b.read < len(b.chunks) {
		chunk := b.chunks[b.read][b.offset:]
		copied := copy(p[n:], chunk)
		n += copied
		if b.offset += copied; copied == len(chunk) {
			b.read, b.offset = b.read+1, 0
		}
	}
	switch {
	case n > 0 || len(p) == 0:
		return n, nil
	case b.err != nil:
		return 0, b.err
	}
	return 0, io.EOF
}

// length returns the size of the body in bytes.
func (b *requestBody) length() int64 {
	n := 0
	for _, chunk := range b.chunks {
		n += len(chunk)
	}
	return int64(n)
}

// Close releases the chunks.
func (b *requestBody) Close() error {
	b.small.free(b.takenSmall)
	b.large.free(b.takenLarge)
	b.chunks, b.takenSmall, b.takenLarge = nil, 0, 0
	return nil
}

// fail drops the body because of err.
func (b *requestBody) fail(err error) {
	_ = b.Close()
	b.err = err
}

// take takes n bytes from the budgets. If they have no room, slower senders lose theirs.
func (b *requestBody) take(n int64) bool {
	return b.tryTake(n) || b.awaitRoom != nil && b.awaitRoom(func() bool { return b.tryTake(n) })
}

func (b *requestBody) tryTake(n int64) bool {
	switch {
	case b.size+n <= smallBodySize && b.small != nil && b.small.reserve(n):
		b.takenSmall += n
	case b.large.reserve(n):
		b.takenLarge += n
	default:
		return false
	}
	b.size += n
	return true
}

// takeFields takes the memory of n fields of a head from the budgets.
func (b *requestBody) takeFields(n int) bool {
	return n <= freeFields || b.take(int64(n-freeFields)*fieldMemory)
}

// fits reports whether the budget has room for a body of n bytes, slower senders aside.
func (b *requestBody) fits(n int64) bool {
	hasRoom := func() bool { return b.large == nil || n <= b.large.left() }
	return hasRoom() || n <= b.large.size && b.awaitRoom != nil && b.awaitRoom(hasRoom)
}

// skip refuses a body by the head of its request. A body that has arrived is dropped, so that
// the connection can be kept.
func (b *requestBody) skip(r *bufio.Reader, head requestHead) error {
	if !head.chunked && head.length <= int64(r.Buffered()) {
		if _, err := r.Discard(int(head.length)); err != nil {
			return err
		}
		b.complete = true
	}
	b.fail(ErrRequestRefused)
	return nil
}

// receive reads n bytes from r. expected is the number of bytes that are known to follow,
// these included, or -1. An error is one of r; if the budgets have no room, b fails.
func (b *requestBody) receive(r io.Reader, n, expected int64) error {
	for n > 0 {
		last := len(b.chunks) - 1
		if last < 0 || len(b.chunks[last]) == cap(b.chunks[last]) {
			size := min(max(b.size, minBodyChunk), maxBodyChunk)
			if expected >= 0 {
				size = min(size, expected)
			}
			if !b.take(size) {
				b.fail(ErrRequestBodyBudget)
				return nil
			}
			b.chunks = append(b.chunks, make([]byte, 0, size))
			last++
		}
		chunk := b.chunks[last]
		part := chunk[len(chunk):min(int64(cap(chunk)), int64(len(chunk))+n)]
		if _, err := io.ReadFull(r, part); err != nil {
			return err
		}
		b.chunks[last] = chunk[:len(chunk)+len(part)]
		n -= int64(len(part))
		if expected >= 0 {
			expected -= int64(len(part))
		}
	}
	return nil
}

// lineReader is a bufio.Reader.
type lineReader interface {
	io.Reader
	ReadSlice(delim byte) ([]byte, error)
}

// receiveChunked reads a body of at most maxBody bytes in chunked encoding. Trailer fields
// are dropped.
func (b *requestBody) receiveChunked(r lineReader, maxBody int64) error {
	total, extras := int64(0), 0
	for {
		line, err := readChunkLine(r)
		if err != nil {
			return b.failOn(err)
		}
		n, extension, ok := parseChunkSize(line)
		if extras += extension; !ok || extras > maxChunkExtras {
			b.fail(errMalformedChunk)
			return nil
		}
		if n == 0 {
			return b.receiveTrailer(r, extras)
		}
		if total += n; total > maxBody {
			b.fail(ErrRequestBodyTooLarge)
			return nil
		}
		if err := b.receive(r, n, -1); err != nil || b.err != nil {
			return err
		}
		if line, err := readChunkLine(r); err != nil {
			return b.failOn(err)
		} else if len(line) > 0 {
			b.fail(errMalformedChunk)
			return nil
		}
	}
}

// receiveTrailer reads the fields behind the last chunk.
func (b *requestBody) receiveTrailer(r lineReader, extras int) error {
	for {
		line, err := readChunkLine(r)
		if err != nil {
			return b.failOn(err)
		}
		if len(line) == 0 {
			return nil
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if extras += len(line); extras > maxChunkExtras || !ok || !isToken(name) {
			b.fail(errMalformedChunk)
			return nil
		}
	}
}

// failOn fails b if err is errMalformedChunk, and otherwise returns err.
func (b *requestBody) failOn(err error) error {
	if errors.Is(err, errMalformedChunk) {
		b.fail(err)
		return nil
	}
	return err
}

// readChunkLine reads a line of chunked encoding, without its end.
func readChunkLine(r lineReader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if len(line) > maxChunkLine {
		return nil, errMalformedChunk
	}
	if err != nil {
		return nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.ContainsAny(line, "\r\x00") {
		return nil, errMalformedChunk
	}
	return line, nil
}

// maxChunkDigits keeps the size of a chunk from overflowing.
const maxChunkDigits = 15

// parseChunkSize parses a line with the size of a chunk. extension is the size in bytes of
// its extensions.
func parseChunkSize(line []byte) (n int64, extension int, ok bool) {
	digits, rest, _ := bytes.Cut(line, []byte(";"))
	extension = len(rest)
	if len(digits) < len(line) {
		digits = bytes.TrimRight(digits, " \t")
	}
	if len(digits) == 0 || len(digits) > maxChunkDigits {
		return 0, 0, false
	}
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, 0, false
		}
		n = n<<4 | int64(c)
	}
	return n, extension, true
}
