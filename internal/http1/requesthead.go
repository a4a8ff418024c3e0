package http1

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxRequestHead is the largest request head in bytes.
const maxRequestHead = 64 << 10

var (
	errNotHTTP        = errors.New("bytes that are not HTTP")
	errRequestHead    = errors.Errorf("request head exceeds %d bytes", maxRequestHead)
	errInvalidRequest = errors.New("malformed request head")
)

// requestHead is the head of a request without the lines that frame its body. Without them
// nbhttp's parser, which would cache the body, completes the request at the end of the head.
type requestHead struct {
	raw            []byte
	length         int64 // of the body in bytes
	chunked        bool
	expectContinue bool
}

// readHead reads the bytes of a request head into buf, up to and including its empty line.
func readHead(r *bufio.Reader, buf []byte) ([]byte, error) {
	if err := skipEmptyLine(r); err != nil {
		return nil, err
	}
	lineStart := true
	for {
		part, err := r.ReadSlice('\n')
		if len(buf)+len(part) > maxRequestHead {
			return nil, errRequestHead
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

// parseHead removes the lines that frame the body from raw.
func parseHead(raw []byte) (requestHead, error) {
	h := requestHead{raw: raw[:0]}
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case isField(name, "Content-Length"):
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil || n < 0 {
				return requestHead{}, errInvalidRequest
			}
			h.length = n
			continue
		case isField(name, "Transfer-Encoding"):
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return requestHead{}, errInvalidRequest
			}
			h.chunked = true
			continue
		case isField(name, "Trailer"):
			continue
		case isField(name, "Expect"):
			h.expectContinue = strings.EqualFold(string(bytes.TrimSpace(value)), "100-continue")
		}
		h.raw = append(h.raw, line...)
	}
	return h, nil
}

// isField reports whether name is that of the given field.
func isField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}
