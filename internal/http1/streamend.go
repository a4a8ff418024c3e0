package http1

import (
	"net"
	"net/http"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ErrBodyCut is what a LostError wraps if the body of a response ends with its connection, and
// the connection ended by a reset or another error.
var ErrBodyCut = errors.New("the connection failed before the end of the response")

// endsWithConn reports whether only the end of the connection shows the end of the body of res.
func endsWithConn(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}

// checkStreamEnd returns ErrBodyCut if the end of the stream that a read has found is not one
// that the peer has sent. A nil w is that of a request that was written without an error.
//
// The system reports the error of a connection to one call. If that is a write, later reads find
// the end of the stream, as they do after a FIN. The two are told apart by what else they leave:
// a FIN leaves the connection open for writing. A reset closes it, so that the write in progress
// and the next one fail. On Linux they fail with EPIPE if the FIN had arrived before the reset.
func (w *bodyWriter) checkStreamEnd() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	started := w.started
	w.mu.Unlock()
	if started {
		closed, err := isClosed(w.conn)
		if err != nil {
			return errors.Wrap(err, "state of the connection")
		}
		if !closed {
			return nil
		}
		<-w.done
	}
	var errno syscall.Errno
	if err := w.failure(); errors.As(err, &errno) && errno != syscall.EPIPE {
		return errors.Wrap(ErrBodyCut, errno.Error())
	}
	return nil
}

// isClosed reports whether conn is closed in both directions, or has no descriptor to tell.
func isClosed(conn net.Conn) (bool, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	var fds [1]unix.PollFd
	var pollErr error
	if err := raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		_, pollErr = unix.Poll(fds[:], 0) // reports POLLHUP without a request for it
	}); err != nil {
		return false, err
	}
	return fds[0].Revents&unix.POLLHUP != 0, pollErr
}
