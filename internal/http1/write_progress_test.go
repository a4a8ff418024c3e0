package http1

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a large response to a slow but steady reader that looks as if nothing of it
// had been read since its start, so that its connection is evicted as stalled.
func TestReadPartsOfAResponseAreProgress(t *testing.T) {
	local, peer := net.Pipe() // a write to it ends when all of its bytes have been read
	defer peer.Close()
	s := &Server{cfg: ServerConfig{WriteTimeout: time.Minute}}
	c := &serverConn{Conn: local, server: s}
	failed := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 3*maxWritePiece))
		failed <- err
	}()
	read := func(n int64) int64 {
		if _, err := io.CopyN(io.Discard, peer, n); err != nil {
			t.Fatal(err)
		}
		return c.writingSince.Load()
	}
	startedAt := read(1)
	if progressAt := read(maxWritePiece); progressAt <= startedAt {
		t.Errorf("the write has waited since %d after its first piece was read, and since %d before", progressAt, startedAt)
	}
	read(2*maxWritePiece - 1)
	if err := <-failed; err != nil {
		t.Fatal(err)
	}
	if since := c.writingSince.Load(); since != 0 {
		t.Errorf("a write is in progress since %d after its end", since)
	}
}
