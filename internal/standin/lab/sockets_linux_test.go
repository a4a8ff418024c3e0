package lab

import (
	"net"
	"os"
	"testing"
)

// connectPair returns both ends of a new loopback connection.
func connectPair(t testing.TB, ln net.Listener) (client, accepted net.Conn) {
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

func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// TestSocketOwner guards against faults that affect the connections of a process
// other than the selected one.
func TestSocketOwner(t *testing.T) {
	client, accepted := connectPair(t, listenLoopback(t))
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

// TestMovedSocketOwner guards against not finding the owner of a connection that moves
// to another descriptor during the search, as connections of an event loop do.
func TestMovedSocketOwner(t *testing.T) {
	ln := listenLoopback(t)
	self := map[string]int{"self": os.Getpid()}
	for range 200 {
		client, accepted := connectPair(t, ln)
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

// BenchmarkSocketOwner measures the search that the relay makes for each connection,
// on a machine with many sockets.
func BenchmarkSocketOwner(b *testing.B) {
	ln := listenLoopback(b)
	for range 5000 {
		connectPair(b, ln)
	}
	_, accepted := connectPair(b, ln)
	none := map[string]int{"other": os.Getppid()}
	for b.Loop() {
		socketOwner(accepted.LocalAddr(), accepted.RemoteAddr(), none)
	}
}
