package http1

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// maxRequestHead is the largest request head in bytes.
	maxRequestHead = 64 << 10
	// headMemoryFactor is the memory that a head takes for each of its bytes, in its buffer,
	// which grows by copying, and in the header of the request.
	headMemoryFactor = 4
	// fieldMemory is the memory in bytes that a field takes in headers, however short it is:
	// its entry in the map of the request and in that of the request to an upstream, with
	// their values. Those of freeFields, more than most requests have, do not count.
	fieldMemory = 512
	freeFields  = 32
)

var (
	errNotHTTP        = errors.New("bytes that are not HTTP")
	errRequestHead    = errors.New("request head exceeds its limit")
	errHeadBudget     = errors.New("request heads exceed the memory budget of the process")
	errInvalidRequest = errors.New("malformed request head")
)

// requestHead is the head of a request without the lines that frame its body and the white
// space around field values. Without these lines nbhttp's parser, which would cache the body,
// completes the request at the end of the head.
type requestHead struct {
	raw            []byte
	length         int64 // of the body in bytes
	fields         int
	chunked        bool
	expectContinue bool
}

// readHead reads the bytes of a request head into buf, up to and including its empty line.
// The memory of what exceeds the read buffer of a connection is taken from the budgets of b.
// maxHead is in bytes.
func readHead(r *bufio.Reader, buf []byte, b *requestBody, maxHead int) ([]byte, error) {
	if err := skipEmptyLine(r); err != nil {
		return nil, err
	}
	lineStart, budgeted := true, serverReadBufferSize
	for {
		part, err := r.ReadSlice('\n')
		if len(buf)+len(part) > maxHead {
			return nil, errRequestHead
		}
		if size := len(buf) + len(part); size > budgeted {
			if !b.take(int64(size-budgeted) * headMemoryFactor) {
				return nil, errHeadBudget
			}
			budgeted = size
		}
		buf = append(buf, part...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if lineStart && err == nil && (len(part) == 1 || string(part) == "\r\n") {
			return buf, nil
		}
		lineStart = err == nil
	}
}

// skipEmptyLine skips an empty line, which some clients send behind a body. It returns
// errNotHTTP if no request line can follow.
func skipEmptyLine(r *bufio.Reader) error {
	first, err := r.Peek(1)
	if err != nil {
		return err
	}
	if first[0] == '\r' {
		if first, err = r.Peek(2); err != nil {
			return err
		}
		if first[1] != '\n' {
			return errNotHTTP
		}
		if _, err := r.Discard(2); err != nil {
			return err
		}
		if first, err = r.Peek(1); err != nil {
			return err
		}
	}
	if !isTokenChar(first[0]) {
		return errNotHTTP
	}
	return nil
}

// isTokenChar reports whether c may be part of a method or of the name of a field.
func isTokenChar(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// parseHead checks a head by RFC 9112, sections 2.2, 3 and 5 to 7, and removes the lines that
// frame the body, and the white space around values, from raw. It refuses what an upstream, or
// a proxy before this server, could frame in another way.
func parseHead(raw []byte) (requestHead, error) {
	h := requestHead{raw: raw[:0]}
	http10 := false
	hosts, lengths, codings := 0, 0, 0
	for i, rest := 0, raw; len(rest) > 0; i++ {
		end := bytes.IndexByte(rest, '\n') + 1
		line := rest[:end]
		rest = rest[end:]
		text, ok := bytes.CutSuffix(line, []byte("\r\n"))
		if !ok || bytes.IndexByte(text, '\r') >= 0 || bytes.IndexByte(text, 0) >= 0 {
			return requestHead{}, errors.Wrap(errInvalidRequest, "line end or NUL")
		}
		if i == 0 {
			if http10, ok = parseRequestLine(text); !ok {
				return requestHead{}, errors.Wrap(errInvalidRequest, "request line")
			}
		}
		if i == 0 || len(text) == 0 {
			h.raw = append(h.raw, line...)
			continue
		}
		name, value, _ := bytes.Cut(text, []byte(":"))
		if len(name) == len(text) || !isToken(name) { // also a folded line
			return requestHead{}, errors.Wrap(errInvalidRequest, "field name")
		}
		h.fields++
		value = bytes.Trim(value, " \t")
		switch {
		case isField(name, "Host"):
			hosts++
		case isField(name, "Content-Length"):
			lengths++
			if h.length, ok = parseLength(value); !ok {
				return requestHead{}, errors.Wrap(errInvalidRequest, "Content-Length")
			}
			continue
		case isField(name, "Transfer-Encoding"):
			codings++
			if !strings.EqualFold(string(value), "chunked") {
				return requestHead{}, errors.Wrap(errInvalidRequest, "Transfer-Encoding")
			}
			h.chunked = true
			continue
		case isField(name, "Trailer"):
			continue
		case isField(name, "Expect"):
			h.expectContinue = !http10 && strings.EqualFold(string(value), "100-continue")
		}
		// Without the white space around the value, which nbhttp's parser keeps in part. The
		// result is not longer than the line, whose bytes it replaces.
		h.raw = append(append(h.raw, name...), ':')
		h.raw = append(append(h.raw, value...), "\r\n"...)
	}
	if lengths+codings > 1 || http10 && codings > 0 {
		return requestHead{}, errors.Wrap(errInvalidRequest, "ambiguous length")
	}
	if hosts > 1 || hosts == 0 && !http10 {
		return requestHead{}, errors.Wrap(errInvalidRequest, "Host")
	}
	return h, nil
}

// parseRequestLine checks a request line, and reports whether it is of HTTP/1.0.
func parseRequestLine(line []byte) (http10, ok bool) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(method) || len(target) == 0 || bytes.ContainsAny(target, "\t\v\f\x7f") {
		return false, false
	}
	http10 = string(version) == "HTTP/1.0"
	return http10, http10 || string(version) == "HTTP/1.1"
}

// parseLength parses the value of Content-Length, which has only digits.
func parseLength(value []byte) (int64, bool) {
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64) // fails if empty or too large
	return n, err == nil
}

// isToken reports whether b is the name of a method or field.
func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenChar(c) {
			return false
		}
	}
	return len(b) > 0
}

// isField reports whether name is that of the given field.
func isField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}
