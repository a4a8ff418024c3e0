package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that is read in another way than its sender, or a proxy before
// this server, has framed it: a part of its body would run as another request.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	const post, smuggled = "POST / HTTP/1.1\r\nHost: h\r\n", "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	const chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"differing lengths":             post + "Content-Length: 0\r\nContent-Length: 37\r\n\r\n",
		"repeated length":               post + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"list of lengths":               post + "Content-Length: 0, 0\r\n\r\n",
		"signed length":                 post + "Content-Length: +0\r\n\r\n",
		"negative length":               post + "Content-Length: -1\r\n\r\n",
		"hexadecimal length":            post + "Content-Length: 0x0\r\n\r\n",
		"empty length":                  post + "Content-Length:\r\n\r\n",
		"length overflow":               post + "Content-Length: 18446744073709551616\r\n\r\n",
		"length beside coding":          post + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding beside length":          post + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n",
		"other coding":                  post + "Transfer-Encoding: gzip\r\n\r\n",
		"list of codings":               post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"repeated coding":               post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"empty coding":                  post + "Transfer-Encoding:\r\n\r\n",
		"vertical tab in coding":        post + "Transfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n",
		"coding in HTTP/1.0":            "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"space before colon":            post + "Content-Length : 0\r\n\r\n",
		"tab before colon":              post + "Transfer-Encoding\t: chunked\r\n\r\n",
		"folded line":                   post + "X: a\r\n Content-Length: 0\r\n\r\n",
		"folded first line":             "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
		"no colon":                      post + "Content-Length\r\n\r\n",
		"empty name":                    post + ": 0\r\n\r\n",
		"bare CR":                       post + "X: a\rContent-Length: 0\r\n\r\n",
		"bare LF":                       post + "X: a\nContent-Length: 0\r\n\r\n",
		"bare LF at the end":            post + "\n",
		"bare LF in the request line":   "GET / HTTP/1.1\nHost: h\r\n\r\n",
		"NUL":                           post + "X: a\x00b\r\n\r\n",
		"no Host":                       "GET / HTTP/1.1\r\n\r\n",
		"two Hosts":                     post + "Host: other\r\n\r\n",
		"two Hosts in HTTP/1.0":         "GET / HTTP/1.0\r\nHost: h\r\nHost: h\r\n\r\n",
		"no version":                    "GET /\r\nHost: h\r\n\r\n",
		"other version":                 "GET / HTTP/1.2\r\nHost: h\r\n\r\n",
		"two spaces":                    "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
		"space in target":               "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"target without path":           "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
		"chunk size overflow":           chunked + "10000000000000000\r\n",
		"signed chunk size":             chunked + "+0\r\n\r\n",
		"prefixed chunk size":           chunked + "0x0\r\n\r\n",
		"empty chunk size":              chunked + "\r\n\r\n",
		"space behind chunk size":       chunked + "0 \r\n\r\n",
		"bare LF behind chunk size":     chunked + "0\n\r\n",
		"bare CR in extension":          chunked + "0;a\rb\r\n\r\n",
		"long extension":                chunked + "0;" + strings.Repeat("a", maxChunkLine) + "\r\n\r\n",
		"many extensions":               chunked + strings.Repeat("1;"+strings.Repeat("a", 1000)+"\r\nx\r\n", 17) + "0\r\n\r\n",
		"chunk longer than size":        chunked + "1\r\nxx\r\n0\r\n\r\n",
		"bare LF behind chunk":          chunked + "1\r\nx\n0\r\n\r\n",
		"long trailer":                  chunked + "0\r\n" + strings.Repeat("T: "+strings.Repeat("a", 1000)+"\r\n", 17) + "\r\n",
		"trailer without colon":         chunked + "0\r\ntrailer\r\n\r\n",
		"space in the name of trailer":  chunked + "0\r\nT : a\r\n\r\n",
		"folded line in trailer":        chunked + "0\r\nT: a\r\n b: c\r\n\r\n",
		"bare LF at the end of trailer": chunked + "0\r\n\n",
	}
	for name, request := range tests {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			_, c := listenBodies(t, ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := RequestBody(r); err == nil {
					ran.Add(1)
				}
				echoBody(w, r)
			})})
			_, _ = io.WriteString(c, request+smuggled)
			var got []int
			r := bufio.NewReader(c)
			for {
				res, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				got = append(got, res.StatusCode)
			}
			if diff := cmp.Diff([]int{http.StatusBadRequest}, got); diff != "" || ran.Load() != 0 {
				t.Errorf("%d requests ran; statuses: %s", ran.Load(), diff)
			}
		})
	}
}

// Guards against sound requests that are refused, and against a head without end.
func TestSoundRequestsAreServed(t *testing.T) {
	tests := map[string]struct {
		request string
		want    int
	}{
		"HTTP/1.0 without Host":        {"GET / HTTP/1.0\r\n\r\n", http.StatusOK},
		"HTTP/1.0 with length":         {"POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\nx", http.StatusOK},
		"empty line before it":         {"\r\nGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", http.StatusOK},
		"white space around a value":   {"POST / HTTP/1.1\r\nhost:\th\r\ncontent-length:\t 1 \t\r\nConnection: close\r\n\r\nx", http.StatusOK},
		"coding in another case":       {"POST / HTTP/1.1\r\nHost: h\r\nTRANSFER-ENCODING: Chunked\r\nConnection: close\r\n\r\n1 ;a\r\nx\r\n00\r\n\r\n", http.StatusOK},
		"head of the largest size":     {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: " + strings.Repeat("x", maxRequestHead-100) + "\r\n\r\n", http.StatusOK},
		"head larger than the maximum": {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: " + strings.Repeat("x", maxRequestHead) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, c := listenBodies(t, ServerConfig{})
			_, _ = io.WriteString(c, tt.request)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || res.StatusCode != tt.want {
				t.Errorf("response %v, error %v, want status %d", res, err, tt.want)
			}
		})
	}
}

// Guards against field values that contain the white space around them, which is no part of
// them and which upstreams remove: an id is not found again in the response then.
func TestSpaceAroundValuesIsRemoved(t *testing.T) {
	_, c := listenBodies(t, ServerConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if diff := cmp.Diff(http.Header{"A": {"1"}, "B": {"2"}, "C": {"3 \t 4"}, "D": {""}, "E": {""}, "F": {":"}, "Host": {"h"}}, r.Header); diff != "" {
			t.Error(diff)
		}
	})})
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost:\th \r\nA:1 \r\nb:\t2\t\r\nC:   3 \t 4 \t \r\nD:\r\nE: \t \r\nF: : \r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("response %v, error %v, want status 200", res, err)
	}
}
