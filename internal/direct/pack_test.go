package direct

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Guards against replies that change in compression and decompression, and against
// lists of upstreams that are sent uncompressed between zones.
func TestReplyCompression(t *testing.T) {
	long := make([]byte, 10*minCompressSize)
	for i := range long {
		long[i] = "upstream "[i%9]
	}
	for name, body := range map[string][]byte{"empty": {}, "short": []byte("{}"), "long": long} {
		h := http.Header{}
		sent := compressReply(h, body)
		got, err := decompressReply(&http1.Response{Header: h, Body: sent})
		if diff := cmp.Diff(string(body), string(got)); err != nil || diff != "" {
			t.Errorf("%s: %v %s", name, err, diff)
		}
		if name == "long" && len(sent) > len(body)/10 {
			t.Errorf("%d bytes sent for a body of %d bytes, want at most a tenth", len(sent), len(body))
		}
	}
	for name, res := range map[string]*http1.Response{
		"truncated":        {Header: http.Header{headerEncoding: {deflateEncoding}}, Body: []byte{0x4a}},
		"unknown encoding": {Header: http.Header{headerEncoding: {"br"}}, Body: []byte("x")},
	} {
		if _, err := decompressReply(res); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
