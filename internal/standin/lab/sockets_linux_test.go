package lab

import (
	"net"
	"os"
	"testing"
)

// connect returns both ends of a new loopback connection.
func connect(t testing.TB, ln net.Listener) (client, accepted net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = client.Close(), accepted.Close() })
	return client, accepted
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestSocketOwner guards against faults that hit connections of other processes
// than the one they are meant for.
func TestSocketOwner(t *testing.T) {
	client, accepted := connect(t, listen(t))
	self := map[string]int{"self": os.Getpid()}
	if got := socketOwner(accepted.LocalAddr(), accepted.RemoteAddr(), self); got != "self" {
		t.Errorf("owner %q, want self", got)
	}
	if got := socketOwner(accepted.LocalAddr(), accepted.RemoteAddr(), map[string]int{"other": os.Getppid()}); got != "" {
		t.Errorf("owner %q among other processes, want none", got)
	}
	_ = client.Close()
	if got := socketOwner(accepted.LocalAddr(), accepted.RemoteAddr(), self); got != "" {
		t.Errorf("owner %q of a closed connection, want none", got)
	}
}

// TestMovedSocketOwner guards against missed owners of connections that get another
// descriptor while they are searched, as those of an event loop do.
func TestMovedSocketOwner(t *testing.T) {
	ln := listen(t)
	self := map[string]int{"self": os.Getpid()}
	for range 200 {
		client, accepted := connect(t, ln)
		moved := make(chan *os.File)
		go func() {
			f, err := client.(*net.TCPConn).File()
			if err != nil {
				t.Error(err)
			}
			_ = client.Close()
			moved <- f
		}()
		if got := socketOwner(accepted.LocalAddr(), accepted.RemoteAddr(), self); got != "self" {
			t.Errorf("owner %q, want self", got)
		}
		_ = (<-moved).Close()
	}
}

// BenchmarkSocketOwner measures what a relay does for each connection on a machine
// with many sockets.
func BenchmarkSocketOwner(b *testing.B) {
	ln := listen(b)
	for range 5000 {
		connect(b, ln)
	}
	_, accepted := connect(b, ln)
	none := map[string]int{"other": os.Getppid()}
	for b.Loop() {
		socketOwner(accepted.LocalAddr(), accepted.RemoteAddr(), none)
	}
}
