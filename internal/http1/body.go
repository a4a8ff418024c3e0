package http1

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// BodyBudget bounds the memory that the response bodies of one or more Transports, or the
// request bodies of Servers, take at a time. Each response body may take unbudgetedBodySize
// beside it, so that the small responses of most requests neither use it up nor fail when
// large ones do.
type BodyBudget struct {
	size int64 // bytes
	used atomic.Int64
}

const (
	// unbudgetedBodySize is the size in bytes of a body's buffer up to which it takes
	// nothing from the budget. Hundreds of such bodies take a few tens of MB.
	unbudgetedBodySize = 64 << 10
	// minBodyBuffer is the first size in bytes of the buffer for a body of unknown length.
	minBodyBuffer = 512
)

// ErrBodyBudget reports a response body for which the BodyBudget has too little left.
var ErrBodyBudget = errors.New("response bodies exceed the memory budget of the process")

// ErrBodyTooLarge reports a response body larger than TransportConfig.MaxBody.
var ErrBodyTooLarge = errors.New("response exceeds the maximum body size")

// NewBodyBudget returns a budget of size bytes. While its buffer grows, a body of n bytes
// takes up to 1.5 n.
func NewBodyBudget(size int64) *BodyBudget { return &BodyBudget{size: size} }

// take takes the share of a buffer of size bytes, or returns an error. A nil budget has no
// bound.
func (b *BodyBudget) take(size int64) error {
	if b == nil || size <= unbudgetedBodySize {
		return nil
	}
	n := size - unbudgetedBodySize
	if used := b.used.Add(n); used > b.size {
		b.used.Add(-n)
		return errors.Wrapf(ErrBodyBudget, "%d bytes beside %d in use", n, used-n)
	}
	return nil
}

// hasRoom reports whether take would succeed for a buffer of size bytes while it grows. A
// later take may fail nevertheless.
func (b *BodyBudget) hasRoom(size int64) bool {
	return b == nil || b.used.Load()+size*3/2-unbudgetedBodySize <= b.size
}

// reserve takes n bytes, and reports whether there was room. A nil budget has no bound.
func (b *BodyBudget) reserve(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.size {
		b.used.Add(-n)
		return false
	}
	return true
}

// free returns n bytes that reserve has taken.
func (b *BodyBudget) free(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}

// left returns the number of bytes that reserve could take. b is not nil.
func (b *BodyBudget) left() int64 { return b.size - b.used.Load() }

// release returns the share of a buffer of size bytes.
func (b *BodyBudget) release(size int64) {
	if b != nil && size > unbudgetedBodySize {
		b.used.Add(unbudgetedBodySize - size)
	}
}

// readBody reads the body of res, of at most maxBody bytes. The share of its capacity is
// taken from budget unless an error is returned.
func readBody(res *http.Response, maxBody int64, budget *BodyBudget) ([]byte, error) {
	length := res.ContentLength // -1: unknown
	if res.Body == http.NoBody {
		length = 0 // Content-Length of a response to HEAD states another length
	}
	if length > maxBody {
		return nil, ErrBodyTooLarge
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := growBody(body, length, maxBody, budget)
			if err != nil {
				budget.release(int64(cap(body)))
				return nil, err
			}
			body = grown
		}
		n, err := res.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF && int64(len(body)) <= maxBody {
			return body, nil
		}
		if err == nil && int64(len(body)) > maxBody {
			err = ErrBodyTooLarge
		}
		if err != nil {
			budget.release(int64(cap(body)))
			return nil, errors.Wrap(err, "read response body")
		}
	}
}

// growBody returns a copy of body with about twice its capacity, at most one byte more
// than length or maxBody, in which the end of the body is read. Until the copy is made,
// the shares of both are taken from budget.
func growBody(body []byte, length, maxBody int64, budget *BodyBudget) ([]byte, error) {
	size := max(2*int64(cap(body)), minBodyBuffer)
	switch {
	case length >= 0 && (size >= length || length < unbudgetedBodySize):
		size = length + 1
	case size >= maxBody:
		size = maxBody + 1
	}
	if err := budget.take(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	budget.release(int64(cap(body)))
	return grown, nil
}
