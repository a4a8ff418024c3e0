package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a connection that the server closes without an answer although its
// request runs: with nbio's event loop, the end of one connection could end a new one
// that got the same descriptor number.
func TestNewConnectionsOutliveClosedOnes(t *testing.T) {
	const clients, connsPerClient = 64, 200
	var started [clients]chan struct{}
	for i := range started {
		started[i] = make(chan struct{})
	}
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		if i, err := strconv.Atoi(r.Header.Get("Leaving")); err == nil {
			started[i] <- struct{}{} // the caller leaves while this response is written
		}
		_, _ = io.WriteString(w, "ok")
	})
	var mu sync.Mutex
	var failures []error
	var g sync.WaitGroup
	for i := range clients {
		g.Add(1)
		go func() {
			defer g.Done()
			for range connsPerClient {
				var err error
				if i%2 == 0 {
					err = getAndClose(s.Addr())
				} else {
					err = getAndLeave(s.Addr(), i, started[i])
				}
				if err != nil {
					mu.Lock()
					failures = append(failures, err)
					mu.Unlock()
				}
			}
		}()
	}
	g.Wait()
	if len(failures) > 0 {
		t.Errorf("%d of %d connections ended without an answer; the first: %v", len(failures), clients*connsPerClient, failures[0])
	}
}

// getAndClose sends two requests over a new connection, which the server closes after
// the second response.
func getAndClose(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	if err := get(c, r, ""); err != nil {
		return err
	}
	return get(c, r, "Connection: close\r\n")
}

// getAndLeave sends a request over a new connection, and resets the connection while the
// response to a second one is written.
func getAndLeave(addr string, client int, started <-chan struct{}) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := get(c, bufio.NewReader(c), ""); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nLeaving: %d\r\n\r\n", client); err != nil {
		return err
	}
	select {
	case <-started:
	case <-time.After(10 * time.Second):
		return errors.New("the second request did not start")
	}
	return c.(*net.TCPConn).SetLinger(0)
}

func get(c net.Conn, r *bufio.Reader, header string) error {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", header); err != nil {
		return err
	}
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
