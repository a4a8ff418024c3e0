package http1

import (
	"bytes"

	"github.com/go-faster/errors"
)

// ErrRequestRefused states that ServerConfig.CheckHead refused the request, so that its body
// was not received.
var ErrRequestRefused = errors.New("request refused by its head")

// RequestHead is the head of a request whose body has not been received.
type RequestHead struct {
	Target string
	raw    []byte
}

// HeadVerdict is what ServerConfig.CheckHead states about a request.
type HeadVerdict struct {
	Refused bool   // the handler will refuse the request without its body
	Owner   string // whose share the request counts in, beside that of its address; empty: nobody's
}

// Field returns the value of the first field with the given name, and whether there is one.
func (h RequestHead) Field(name string) (string, bool) {
	for line := range bytes.Lines(h.raw) {
		field, value, ok := bytes.Cut(line, []byte(":"))
		if ok && isField(field, name) {
			return string(bytes.TrimSuffix(value, []byte("\r\n"))), true
		}
	}
	return "", false
}

// trim removes all but the first fields of a head, the host and the connection options: a
// refused request needs no more, and thousands of fields take time and memory to parse.
func (h *requestHead) trim() {
	if h.fields <= freeFields {
		return
	}
	kept, n := h.raw[:0], 0
	for line := range bytes.Lines(h.raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		n++ // the request line counts too
		if n <= freeFields || len(line) == len("\r\n") || isField(name, "Host") || isField(name, "Connection") {
			kept = append(kept, line...)
		}
	}
	h.raw, h.fields = kept, freeFields
}

// checkHead applies ServerConfig.CheckHead to a request, and reports whether its body is to be
// received.
func (c *serverConn) checkHead(head requestHead) bool {
	check := c.server.cfg.CheckHead
	if check == nil {
		return true
	}
	line, fields, _ := bytes.Cut(head.raw, []byte("\n"))
	_, line, _ = bytes.Cut(line, []byte(" "))
	target, _, _ := bytes.Cut(line, []byte(" "))
	v := check(RequestHead{Target: string(target), raw: fields})
	if v.Owner != c.owner {
		c.server.mu.Lock()
		c.owner = v.Owner
		c.server.mu.Unlock()
	}
	return !v.Refused
}
