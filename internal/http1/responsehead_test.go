package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

const (
	okLine  = "HTTP/1.1 200 OK\r\n"
	okBody  = "Content-Length: 4\r\n\r\nbody"
	okChunk = "Transfer-Encoding: chunked\r\nTrailer: X-Sum, X-Other\r\n\r\n4\r\nbody\r\n0\r\n"
)

// brokenHeads are responses whose heads, interim heads or trailers do not follow the grammar of
// RFC 9112, or do not state the length of the body in one valid way.
var brokenHeads = map[string]string{
	"space behind a name":          okLine + "X-Trace : 1\r\n" + okBody,
	"space behind the last name":   okLine + "Content-Length: 4\r\nX-Trace : 1\r\n\r\nbody",
	"space in a name":              okLine + "X Trace: 1\r\n" + okBody,
	"space before the first name":  okLine + " X-Trace: 1\r\n" + okBody,
	"space before a name":          okLine + "X-Trace: 1\r\n X-Other: 2\r\n" + okBody,
	"space before a length":        okLine + "Content-Length: 4\r\nX-Trace: 1\r\n Content-Length: 3\r\n\r\nbody",
	"tab before a name":            okLine + "X-Trace: 1\r\n\tX-Other: 2\r\n" + okBody,
	"tab behind a name":            okLine + "X-Trace\t: 1\r\n" + okBody,
	"space behind a length":        okLine + "Content-Length : 3\r\n" + okBody,
	"space behind a second length": okLine + "Content-Length: 4\r\nContent-Length : 3\r\n\r\nbody",
	"space behind a coding":        okLine + "Transfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"control byte in a name":       okLine + "X-\x01Trace: 1\r\n" + okBody,
	"NUL in a name":                okLine + "X-Trace\x00: 1\r\n" + okBody,
	"DEL in a name":                okLine + "X-\x7fTrace: 1\r\n" + okBody,
	"CR in a name":                 okLine + "X-\rTrace: 1\r\n" + okBody,
	"byte of no token in a name":   okLine + "X-Tr\xc3\xa4ce: 1\r\n" + okBody,
	"parentheses in a name":        okLine + "X-(Trace): 1\r\n" + okBody,
	"no name":                      okLine + ": 1\r\n" + okBody,
	"no colon":                     okLine + "X-Trace\r\n" + okBody,
	"control byte in a value":      okLine + "X-Trace: a\x01b\r\n" + okBody,
	"NUL in a value":               okLine + "X-Trace: a\x00b\r\n" + okBody,
	"CR in a value":                okLine + "X-Trace: a\rb\r\n" + okBody,
	"DEL in a value":               okLine + "X-Trace: a\x7fb\r\n" + okBody,

	"two lengths":                        okLine + "Content-Length: 3\r\n" + okBody,
	"signed length":                      okLine + "Content-Length: +4\r\n\r\nbody",
	"negative length":                    okLine + "Content-Length: -4\r\n\r\nbody",
	"empty length":                       okLine + "Content-Length:\r\n" + okBody,
	"coding in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"status 000":                         "HTTP/1.1 000 OK\r\n" + okBody,
	"status 000 without a reason phrase": "HTTP/1.1 000\r\n" + okBody,
	"status 600":                         "HTTP/1.1 600 OK\r\n" + okBody,

	"interim status 000":                       "HTTP/1.1 000 OK\r\n\r\n" + okLine + okBody,
	"interim head, space behind a name":        "HTTP/1.1 103 Early Hints\r\nLink : </x>\r\n\r\n" + okLine + okBody,
	"interim head, control byte in a name":     "HTTP/1.1 103 Early Hints\r\nLi\x01nk: </x>\r\n\r\n" + okLine + okBody,
	"second interim head, space behind a name": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink : </x>\r\n\r\n" + okLine + okBody,
	"head behind an interim one":               "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okLine + "X-Trace : 1\r\n" + okBody,
	"trailer, space behind a name":             okLine + okChunk + "X-Sum : 1\r\n\r\n",
	"trailer, space in a name":                 okLine + okChunk + "X Sum: 1\r\n\r\n",
	"trailer, space before a name":             okLine + okChunk + " X-Sum: 1\r\n\r\n",
	"trailer, second name":                     okLine + okChunk + "X-Sum: 1\r\nX-Other : 2\r\n\r\n",
	"trailer, control byte in a name":          okLine + okChunk + "X-\x01Sum: 1\r\n\r\n",
	"trailer, control byte in a value":         okLine + okChunk + "X-Sum: a\x01b\r\n\r\n",
	"trailer, no colon":                        okLine + okChunk + "X-Sum\r\n\r\n",
}

// soundHeads are responses with the body "body" that are well-formed.
var soundHeads = map[string]string{
	"plain":              okLine + "X-Trace: 1\r\n" + okBody,
	"white space around": okLine + "X-Trace: \t 1 2\t \r\n" + okBody,
	"no white space":     okLine + "X-Trace:1\r\nContent-Length:4\r\n\r\nbody",
	"empty value":        okLine + "X-Trace:\r\n" + okBody,
	"colons in a value":  okLine + "X-Trace: a:b : c\r\n" + okBody,
	"bytes above 0x7f":   okLine + "X-Trace: \xfcbrig\r\n" + okBody,
	"all characters":     okLine + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + okBody,
	"equal lengths":      okLine + "Content-Length: 4\r\n" + okBody,
	"length in HTTP/1.0": "HTTP/1.0 200 OK\r\n" + okBody,
	"long head":          okLine + strings.Repeat("X-Trace: "+strings.Repeat("x", 500)+"\r\n", 20) + okBody,
	"chunks":             okLine + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3;x=\"y : z\"\r\nody\r\n0\r\n\r\n",
	"body like a head":   okLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n000\r\n\r\n",
	"trailer":            okLine + okChunk + "X-Sum: 1\r\nX-Other:2\r\n\r\n",
}

// soundForTransport are responses that Pool does not support.
var soundForTransport = map[string]string{
	"interim head":            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okLine + okBody,
	"line feeds alone":        "HTTP/1.1 200 OK\nX-Trace: 1\nContent-Length: 4\n\nbody",
	"until close":             okLine + "\r\nbody",
	"until close in HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\nbody",
	"undeclared trailer":      okLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
	"coding and a length":     okLine + "Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
}

// listenBytes starts a peer that answers the first request on each connection with response, in
// one write or in one for each byte.
func listenBytes(t *testing.T, response string, single bool) (addr string) {
	return startPeer(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		for part, rest := "", response; rest != ""; {
			if part, rest = rest, ""; single {
				part, rest = part[:1], part[1:]
			}
			if _, err := io.WriteString(c, part); err != nil {
				return
			}
		}
	})
}

// clients are the two clients of this package.
var clients = map[string]func(ctx context.Context, t *testing.T, addr string) (*Response, error){
	"Transport": func(ctx context.Context, _ *testing.T, addr string) (*Response, error) {
		tr := NewTransport(writeConfig())
		defer tr.CloseIdle(addr)
		return tr.Do(ctx, addr, &Request{Method: http.MethodGet, Target: "/"}, nil)
	},
	"Pool": func(ctx context.Context, t *testing.T, addr string) (*Response, error) {
		c, err := NewClient()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.NewPool(addr, PoolConfig{DialTimeout: 5 * time.Second}).Do(ctx, &Request{Method: http.MethodGet, Target: "/"})
	},
}

// Guards against a response with a malformed head, interim head or trailer that is returned as
// one, with the malformed line or with another body than the peer's, or that is waited for
// until the deadline.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for client, do := range clients {
		for name, response := range brokenHeads {
			for parts, single := range map[string]bool{"whole": false, "in bytes": true} {
				t.Run(client+", "+name+", "+parts, func(t *testing.T) {
					t.Parallel()
					addr := listenBytes(t, response, single)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					res, err := do(ctx, t, addr)
					var lost *LostError
					if err == nil {
						t.Errorf("Do = %+v, want a LostError", res)
					} else if !errors.As(err, &lost) || errors.Is(err, io.EOF) || ctx.Err() != nil {
						t.Errorf("Do = %v, want a LostError that states the fault, before the deadline", err)
					}
				})
			}
		}
	}
}

// Guards against well-formed responses that are refused, or whose body is changed.
func TestWellFormedHeadsAreAccepted(t *testing.T) {
	for client, do := range clients {
		for name, response := range soundHeads {
			testSound(t, client+", "+name, response, do)
		}
	}
	for name, response := range soundForTransport {
		testSound(t, "Transport, "+name, response, clients["Transport"])
	}
}

func testSound(t *testing.T, name, response string, do func(context.Context, *testing.T, string) (*Response, error)) {
	for parts, single := range map[string]bool{"whole": false, "in bytes": true} {
		t.Run(name+", "+parts, func(t *testing.T) {
			t.Parallel()
			res, err := do(t.Context(), t, listenBytes(t, response, single))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{200, "body"}, []any{res.Status, string(res.Body)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
