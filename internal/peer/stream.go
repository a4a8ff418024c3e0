package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageSize is the largest message in bytes. The largest ones carry the catalogue and
// the assignment, each of which the store limits to 1 MiB.
const maxMessageSize = 8 << 20

// messageCodec is the length-prefixed format of jsonrpc2 with a bound on the messages that
// are read. Without it a faulty peer could send one of any length, which the decoder keeps
// until it is complete.
type messageCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject reads a message. The connection cannot be used after an error.
func (messageCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageSize {
		return errors.Errorf("message of %d bytes, at most %d are allowed", size, maxMessageSize)
	}
	return json.NewDecoder(io.LimitReader(stream, int64(size))).Decode(v)
}
