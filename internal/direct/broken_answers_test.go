package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a broken answer of another instance that is decoded like an answer.
func TestBrokenAnswersOfInstances(t *testing.T) {
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	const body = `{"id":"i2","addr":"127.0.0.1:1","term":7}`
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for fault, answer := range map[string]struct {
		bytes    string
		answered bool
	}{
		"none":                   {"HTTP/1.1 200 OK\r\nX-Trace: 1\r\n" + framed, true},
		"space behind a name":    {"HTTP/1.1 200 OK\r\nX-Trace : 1\r\n" + framed, false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX-\x01Trace: 1\r\n" + framed, false},
		"interim head":           {"HTTP/1.1 103 Early Hints\r\nLink : </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + framed, false},
		"status 000":             {"HTTP/1.1 000 OK\r\n" + framed, false},
		"interim status 000":     {"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + framed, false},
	} {
		t.Run(fault, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, answer.bytes)
				}
			}()
			_, err = r.queryLeader(t.Context(), fleet.Peer{ID: "i2", Addr: ln.Addr().String()})
			if diff := cmp.Diff(answer.answered, err == nil); diff != "" {
				t.Errorf("answered %s, error %v", diff, err)
			}
		})
	}
}
