//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// answerHead is the head of an answer, read by the grammar of RFC 9112.
type answerHead struct {
	status int
	header map[string]string // by name in lower case
	raw    []string          // lines
	fault  string            // why the bytes are no answer in the protocol; empty if they are
}

// client sends requests on one connection, one after the other.
type client struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// call is a request of a client.
type call struct {
	method, target, host, id, key string
	header                        []string
	body                          string
	timeout                       time.Duration
}

// do sends a request and reads its answer. The error is that of a request without a complete
// answer.
func (c *client) do(q call) (answerHead, string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return answerHead{}, "", err
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(q.timeout)); err != nil {
		return answerHead{}, "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nApi-Key: %s\r\n", q.method, q.target, q.host, q.id, q.timeout.Milliseconds(), q.key)
	for _, h := range q.header {
		b.WriteString(h + "\r\n")
	}
	if q.body != "" || q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return answerHead{}, "", err
	}
	for {
		h, body, err := c.read()
		if err != nil {
			c.close()
			return h, body, err
		}
		if h.status >= 200 {
			if h.fault != "" || strings.Contains(strings.ToLower(h.header["connection"]), "close") {
				c.close()
			}
			return h, body, nil
		}
	}
}

// read reads one answer.
func (c *client) read() (answerHead, string, error) {
	h := answerHead{header: make(map[string]string)}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return h, "", err
		}
		if line == "\r\n" {
			break
		}
		h.raw = append(h.raw, line)
		text, ok := strings.CutSuffix(line, "\r\n")
		if !ok {
			h.fault = fmt.Sprintf("line end of %q", line)
		}
		if len(h.raw) == 1 {
			if h.status, ok = parseStatusLine(text); !ok {
				h.fault = fmt.Sprintf("status line %q", text)
			}
			continue
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || !isToken(name) || strings.ContainsFunc(value, isControl) {
			h.fault = fmt.Sprintf("field line %q", text)
			continue
		}
		h.header[strings.ToLower(name)] = strings.Trim(value, " \t")
	}
	n, err := strconv.Atoi(h.header["content-length"])
	if h.status < 200 || h.status == 204 || h.status == 304 {
		return h, "", nil
	}
	if err != nil {
		h.fault = "no Content-Length"
		return h, "", nil
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(c.r, body); err != nil {
		return h, "", err
	}
	return h, string(body), nil
}

func parseStatusLine(line string) (int, bool) {
	rest, ok := strings.CutPrefix(line, "HTTP/1.1 ")
	if !ok || len(rest) < 4 || rest[3] != ' ' {
		return 0, false
	}
	status, err := strconv.Atoi(rest[:3])
	return status, err == nil && status >= 100 && status < 600
}

// isToken reports whether s is a token of RFC 9110, as names of fields have to be.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
