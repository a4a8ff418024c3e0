package peer

import (
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a message without end that an instance keeps in memory until its sender
// closes the connection.
func TestEndlessMessage(t *testing.T) {
	server, _ := startServer(t, secret)
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := handshake(conn, secret, "client", "server"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// maxSent covers the largest message and what the sockets buffer.
	const maxSent = maxMessageSize + 16<<20
	sent := 0
	block := []byte(strings.Repeat("x", 1<<16))
	_, err = conn.Write(append(binary.AppendUvarint(nil, 1<<40), `{"method":"`...))
	for err == nil && sent <= maxSent {
		var n int
		n, err = conn.Write(block)
		sent += n
	}
	if sent > maxSent {
		t.Errorf("the server read a message of %d MiB and did not close the connection", sent>>20)
	}
}
