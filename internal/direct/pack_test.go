package direct

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Guards against replies that are read back as others, and against lists of
// upstreams that cross zones as plain text.
func TestPack(t *testing.T) {
	long := make([]byte, 10*packFrom)
	for i := range long {
		long[i] = "upstream "[i%9]
	}
	for name, body := range map[string][]byte{"empty": {}, "short": []byte("{}"), "long": long} {
		h := http.Header{}
		sent := pack(h, body)
		got, err := unpack(&http1.Response{Header: h, Body: sent})
		if diff := cmp.Diff(string(body), string(got)); err != nil || diff != "" {
			t.Errorf("%s: %v %s", name, err, diff)
		}
		if name == "long" && len(sent) > len(body)/10 {
			t.Errorf("%d bytes of %d are sent", len(sent), len(body))
		}
	}
	for name, res := range map[string]*http1.Response{
		"cut":              {Header: http.Header{headerEncoding: {packed}}, Body: []byte{0x4a}},
		"unknown encoding": {Header: http.Header{headerEncoding: {"br"}}, Body: []byte("x")},
	} {
		if _, err := unpack(res); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
