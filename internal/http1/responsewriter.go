package http1

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// responseWriter writes one response, whose length is known, to a connection. nbhttp's
// responses are not used for that: they replace a status without a registered text by 200.
// Writes are buffered until flush.
type responseWriter struct {
	conn     io.Writer
	buf      *[]byte // from responseBuffers; nil before the head and after close
	left     int64   // bytes of the body that have not been written
	bodiless bool    // a response to HEAD, or with a status without a body: a body is discarded
	err      error   // the first one; no bytes follow it
}

const (
	// maxBufferedResponse is the size in bytes up to which a head and a body are sent
	// together.
	maxBufferedResponse = 64 << 10
	// responseBufferSize is the initial size in bytes of a buffer. Most responses fit into it.
	responseBufferSize = 2 << 10
)

var responseBuffers = sync.Pool{New: func() any { b := make([]byte, 0, responseBufferSize); return &b }}

var (
	// errResponseAborted is the error of writes after Abort or an invalid status.
	errResponseAborted = errors.New("the response was aborted")
	// errResponseEnded is the error of writes after the handler has returned.
	errResponseEnded = errors.New("the response has ended")
)

// isFinalStatus reports whether status is that of a final response.
func isFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// writeHead writes the head of the response to r. length is that of the body and the value of
// the Content-Length in h, if there is one.
func (w *responseWriter) writeHead(now time.Time, r *http.Request, status int, h http.Header, length int64) {
	w.bodiless = r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	w.left = length
	w.buf = responseBuffers.Get().(*[]byte)
	b := append((*w.buf)[:0], r.Proto...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = appendReason(b, status)
	b = append(b, "\r\n"...)
	if h["Content-Type"] == nil && length > 0 && !w.bodiless {
		b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	}
	if h["Connection"] == nil && r.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	if h["Date"] == nil {
		b = append(b, "Date: "...)
		b = now.UTC().AppendFormat(b, http.TimeFormat)
		b = append(b, "\r\n"...)
	}
	for name, values := range h {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	*w.buf = append(b, "\r\n"...)
}

// appendReason appends the reason phrase of status. It is never empty, because some clients,
// nbhttp's among them, take the next line for the phrase then.
func appendReason(b []byte, status int) []byte {
	if text := http.StatusText(status); text != "" {
		return append(b, text...)
	}
	return strconv.AppendInt(append(b, "status code "...), int64(status), 10)
}

// Write writes a part of the body. It returns http.ErrContentLength for one that exceeds the
// length of the response.
func (w *responseWriter) Write(p []byte) (int, error) {
	switch {
	case w.err != nil:
		return 0, w.err
	case w.bodiless:
		return len(p), nil
	case int64(len(p)) > w.left:
		return 0, http.ErrContentLength
	}
	w.left -= int64(len(p))
	if len(*w.buf)+len(p) <= maxBufferedResponse {
		*w.buf = append(*w.buf, p...)
		return len(p), nil
	}
	if err := w.flush(); err != nil {
		return 0, err
	}
	if len(p) <= maxBufferedResponse/2 {
		*w.buf = append(*w.buf, p...)
		return len(p), nil
	}
	n, err := w.conn.Write(p)
	w.err = err
	return n, err
}

// flush sends what is buffered.
func (w *responseWriter) flush() error {
	if w.err != nil || len(*w.buf) == 0 {
		return w.err
	}
	_, w.err = w.conn.Write(*w.buf)
	*w.buf = (*w.buf)[:0]
	return w.err
}

// incomplete reports whether a part of the body is missing.
func (w *responseWriter) incomplete() bool { return w.left > 0 && !w.bodiless }

// close discards what is buffered and makes later writes return err.
func (w *responseWriter) close(err error) {
	if w.buf != nil && cap(*w.buf) <= maxBufferedResponse {
		responseBuffers.Put(w.buf)
	}
	w.buf, w.err = nil, err
}
