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

// minCompressSize is the size in bytes from which a reply is compressed. Lists of
// upstreams and configurations shrink to a tenth of their size; smaller replies consist
// mostly of numbers.
const minCompressSize = 2 << 10

const (
	headerEncoding  = "Content-Encoding"
	deflateEncoding = "deflate"
)

var deflateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // impossible: the level is a valid constant
	}
	return w
}}

// compressReply compresses the body of a reply of at least minCompressSize bytes, and
// sets the content encoding in h.
func compressReply(h http.Header, body []byte) []byte {
	if len(body) < minCompressSize {
		return body
	}
	var b bytes.Buffer
	w := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(w)
	w.Reset(&b)
	_, _ = w.Write(body) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	h.Set(headerEncoding, deflateEncoding)
	return b.Bytes()
}

// decompressReply reverses compressReply. The decompressed body is limited to
// maxPeerBody bytes.
func decompressReply(res *http1.Response) ([]byte, error) {
	switch encoding := res.Header.Get(headerEncoding); encoding {
	case "":
		return res.Body, nil
	case deflateEncoding:
	default:
		return nil, errors.Errorf("%s %q, want %q", headerEncoding, encoding, deflateEncoding)
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
