package http1

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
)

// loopBarrier waits until nbio's event loop has applied all events that it has fetched.
//
// nbio closes descriptors on any goroutine, and its event loop looks up the connection of an
// event by the descriptor's number. An event of a closed connection that was fetched
// before would be applied to a new connection that has got the number meanwhile, and end it. A
// new connection therefore holds its number, but is not in the loop, until the barrier is
// passed.
type loopBarrier struct {
	mu      sync.Mutex
	waiting []chan struct{}
	probe   *os.File // bytes written here are events of the loop
}

// newLoopBarrier adds a probe to an engine with one event loop.
func newLoopBarrier(engine interface {
	AddConn(net.Conn) (*nbio.Conn, error)
},
) (*loopBarrier, error) {
	syscall.ForkLock.RLock()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(fds[0])
		syscall.CloseOnExec(fds[1])
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return nil, errors.Wrap(err, "create socket pair")
	}
	b := &loopBarrier{probe: os.NewFile(uintptr(fds[0]), "loop barrier")}
	loopEnd := os.NewFile(uintptr(fds[1]), "loop barrier, end in the loop")
	defer func() { _ = loopEnd.Close() }() // FileConn duplicates it
	c, err := net.FileConn(loopEnd)
	if err != nil {
		return nil, errors.Wrap(err, "open socket pair")
	}
	nbc, err := nbio.NBConn(c)
	if err != nil {
		return nil, errors.Wrap(err, "convert socket pair")
	}
	nbc.OnData(func(*nbio.Conn, []byte) { b.release() })
	if _, err := engine.AddConn(nbc); err != nil {
		return nil, errors.Wrap(err, "add socket pair to the event loop")
	}
	return b, nil
}

// release ends all waits for the loop.
func (b *loopBarrier) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.waiting {
		close(w)
	}
	b.waiting = nil
}

// wait returns when the loop has applied all events that it fetched before the call.
func (b *loopBarrier) wait(timeout time.Duration) error {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	// The loop may read the first byte while it applies the events that it fetched before
	// the call. It reads the second after it has fetched events again.
	for range 2 {
		passed := make(chan struct{})
		b.mu.Lock()
		b.waiting = append(b.waiting, passed)
		b.mu.Unlock()
		if _, err := b.probe.Write([]byte{0}); err != nil {
			return errors.Wrap(err, "write to the event loop")
		}
		select {
		case <-passed:
		case <-expired.C:
			return errors.New("the event loop does not respond")
		}
	}
	return nil
}
