package direct

import (
	"bytes"
	"compress/flate"
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// packFrom is the size of a reply in bytes from which it is compressed. Lists of
// upstreams and configurations shrink to a tenth; smaller replies are mostly numbers.
const packFrom = 2 << 10

const (
	headerEncoding = "Content-Encoding"
	packed         = "deflate"
)

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// pack compresses the body of a reply if that is worth it, and notes so in its header.
func pack(h http.Header, body []byte) []byte {
	if len(body) < packFrom {
		return body
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	_, _ = w.Write(body) // a buffer takes every write
	_ = w.Close()
	h.Set(headerEncoding, packed)
	return b.Bytes()
}

// unpack returns the body of a reply as it was before pack.
func unpack(res *http1.Response) ([]byte, error) {
	switch encoding := res.Header.Get(headerEncoding); encoding {
	case "":
		return res.Body, nil
	case packed:
	default:
		return nil, errors.Errorf("%s %q, want %q", headerEncoding, encoding, packed)
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(res.Body)), maxPeerBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress reply")
	}
	if len(body) > maxPeerBody {
		return nil, http1.ErrBodyTooLarge
	}
	return body, nil
}
