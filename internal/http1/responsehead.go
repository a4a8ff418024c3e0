package http1

import (
	"bytes"
	"net/http"

	"github.com/go-faster/errors"
)

// Errors that a LostError wraps if a head, an interim head or the trailer of a response does not
// follow RFC 9112.
var (
	ErrFieldLine = errors.New("the response has a malformed field line")
	ErrFraming   = errors.New("the response does not state the length of its body in a valid way")
)

// headScanner checks the head of a response, or its trailer, while it arrives. It refuses field
// lines that do not follow the grammar of RFC 9112, section 5: the name is a token, directly
// followed by a colon, and the value contains no control characters but tabs. Parsers differ in
// what they take such a line for. A folded line (section 5.2), which a proxy may refuse, cannot be
// distinguished from a name that begins with white space. It also refuses lengths that are not
// valid or that differ (section 6.3), and transfer codings in HTTP/1.0 (section 6.1).
//
// The status line is not checked. The zero value is ready for use.
type headScanner struct {
	partial   []byte // beginning of a line whose end has not arrived
	inFields  bool   // the status line has ended; true from the start for a trailer
	ended     bool   // the empty line has arrived
	http10    bool
	chunked   bool // there is a Transfer-Encoding
	hasLength bool
	length    int64 // value of Content-Length
}

// scan checks the bytes of p up to the end of the head, and returns how many these are.
func (s *headScanner) scan(p []byte) (n int, err error) {
	for n < len(p) && !s.ended {
		end := bytes.IndexByte(p[n:], '\n') + 1
		if end == 0 {
			s.partial = append(s.partial, p[n:]...)
			return len(p), nil
		}
		line := p[n : n+end]
		if len(s.partial) > 0 {
			line = append(s.partial, line...)
			s.partial = line[:0]
		}
		n += end
		if err := s.scanLine(line); err != nil {
			return n, err
		}
	}
	return n, nil
}

// scanLine checks a line with its end, CR LF or LF alone.
func (s *headScanner) scanLine(line []byte) error {
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	switch {
	case !s.inFields:
		s.inFields, s.http10 = true, bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return nil
	case len(line) == 0:
		s.ended = true
		return nil
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || bytes.ContainsFunc(value, isControl) {
		return errors.Wrapf(ErrFieldLine, "%.100q", line)
	}
	switch {
	case isField(name, "Transfer-Encoding"):
		if s.http10 {
			return errors.Wrapf(ErrFraming, "%.100q in HTTP/1.0", line)
		}
		s.chunked = true
	case isField(name, "Content-Length"):
		length, ok := parseLength(bytes.Trim(value, " \t"))
		if !ok || s.hasLength && length != s.length {
			return errors.Wrapf(ErrFraming, "%.100q", line)
		}
		s.length, s.hasLength = length, true
	}
	return nil
}

// isControl reports whether c is a control character that a field value must not contain.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// checkTrailer returns ErrFieldLine if the name of a field in a trailer that net/http has parsed
// is not a token. net/http refuses names and values with control characters itself.
func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if len(values) > 0 && !isToken([]byte(name)) { // without values, the head has announced it
			return errors.Wrapf(ErrFieldLine, "trailer field %.100q", name)
		}
	}
	return nil
}
