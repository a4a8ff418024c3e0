package http1

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// loopBlock is a connection in the event loop of the clients whose data block the loop.
type loopBlock struct {
	peer    net.Conn
	blocked chan struct{} // gets a value when the loop is blocked
	resume  chan struct{}
}

func newLoopBlock(t *testing.T, addr string, engine interface {
	AddConn(net.Conn) (*nbio.Conn, error)
}, accepted <-chan net.Conn,
) *loopBlock {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	b := &loopBlock{peer: <-accepted, blocked: make(chan struct{}), resume: make(chan struct{})}
	nbc, err := nbio.NBConn(c)
	if err != nil {
		t.Fatal(err)
	}
	nbc.OnData(func(*nbio.Conn, []byte) {
		b.blocked <- struct{}{}
		<-b.resume
	})
	if _, err := engine.AddConn(nbc); err != nil {
		t.Fatal(err)
	}
	return b
}

// ready gives the loop an event that blocks it.
func (b *loopBlock) ready(t *testing.T) {
	t.Helper()
	if _, err := b.peer.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a new connection of a Pool that is ended by the end of a closed one with
// the same descriptor number: nbio's event loop applies the events that it has fetched to the
// connections that have their numbers later.
func TestPoolConnectionsOutliveClosedOnes(t *testing.T) {
	const conns, rounds = 8, 20
	var requests atomic.Int64
	answer := make(chan struct{})
	s := listen(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		<-answer
		_, _ = io.WriteString(w, "ok")
	})
	silent, accepted := listenSilently(t)
	client, err := NewClient()
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var blocks [3]*loopBlock
	for i := range blocks {
		blocks[i] = newLoopBlock(t, silent, client.engine, accepted)
	}
	first, second, third := blocks[0], blocks[1], blocks[2]
	for range rounds {
		closing := client.NewPool(silent, PoolConfig{})
		var peers []net.Conn
		for range conns {
			go func() { _, _ = closing.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/"}) }()
			peers = append(peers, <-accepted)
		}
		for _, p := range peers { // the request is there, so that the connection is in the loop
			if _, err := p.Read(make([]byte, 512)); err != nil {
				t.Fatal(err)
			}
		}
		first.ready(t)
		<-first.blocked
		second.ready(t)
		for _, p := range peers {
			_ = p.Close()
		}
		first.resume <- struct{}{}
		<-second.blocked // with the ends of the connections fetched
		closing.Close()
		before := requests.Load()
		pool, results := client.NewPool(s.Addr(), PoolConfig{DialTimeout: 10 * time.Second}), make(chan error, conns)
		for range conns {
			go func() {
				_, err := pool.Do(t.Context(), &Request{Method: http.MethodGet, Target: "/"})
				results <- err
			}()
		}
		waitFor(t, func() bool { // each request is at the server, or waits for the event loop
			client.barrier.mu.Lock()
			defer client.barrier.mu.Unlock()
			return len(client.barrier.waiting)+int(requests.Load()-before) >= conns
		})
		second.resume <- struct{}{}
		third.ready(t) // the loop has applied the events once it has others
		<-third.blocked
		third.resume <- struct{}{}
		for range conns {
			select {
			case answer <- struct{}{}:
			case <-t.Context().Done():
			}
		}
		for range conns {
			if err := <-results; err != nil {
				t.Errorf("request on a new connection: %v", err)
			}
		}
		pool.Close()
	}
}

// listenSilently accepts connections and answers nothing.
func listenSilently(t *testing.T) (addr string, accepted <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}
