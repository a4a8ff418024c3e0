package http1

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"
)

// hostileParts are what the clients of FuzzClients send, each a part of a request or several.
var hostileParts = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /refused HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n",
	"POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
	"800\r\n" + string(make([]byte, 0x800)) + "\r\n", "0\r\n\r\n", "GET / HT", "\r\n", string(make([]byte, 3000)),
	"GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /large HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\na:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\ng:\r\nh:\r\ni:\r\nj:\r\nk:\r\nl:\r\nm:\r\nn:\r\no:\r\np:\r\nq:\r\nr:\r\ns:\r\nt:\r\nu:\r\nv:\r\nw:\r\nx:\r\ny:\r\nz:\r\naa:\r\nab:\r\nac:\r\nad:\r\nae:\r\naf:\r\nag:\r\nah:\r\n\r\n",
}

// hostileClients are the connections of FuzzClients.
type hostileClients struct {
	addr  string
	conns [6]*net.TCPConn
}

// step runs the operation that two bytes state: open, send a part, send it in pieces, close
// the sending side, reset, read a little, stall.
func (h *hostileClients) step(op, arg byte) {
	i := int(op>>3) % len(h.conns)
	c := h.conns[i]
	if c == nil {
		nc, err := net.Dial("tcp", h.addr)
		if err != nil {
			return
		}
		c = nc.(*net.TCPConn)
		_ = c.SetReadBuffer(1 << 10)
		h.conns[i] = c
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Millisecond))
	part := hostileParts[int(arg)%len(hostileParts)]
	switch op & 7 {
	case 0, 1:
		_, _ = io.WriteString(c, part)
	case 2:
		_, _ = io.WriteString(c, part[:len(part)/2])
		_, _ = io.WriteString(c, part[len(part)/2:])
	case 3:
		_, _ = io.WriteString(c, part[:int(arg)%len(part)])
	case 4:
		_ = c.CloseWrite()
	case 5:
		_ = c.SetLinger(0)
		_ = c.Close()
		h.conns[i] = nil
	case 6:
		_, _ = c.Read(make([]byte, int(arg)+1))
	case 7:
		_, _ = c.Read(make([]byte, 1<<16)) // stalls until the deadline if nothing has arrived
	}
}

// newHostileServer returns a server with low bounds.
func newHostileServer(t *testing.T) *Server {
	s, err := Listen(ServerConfig{
		Addr: "127.0.0.1:0", MaxConns: 4, MaxBody: 8 << 10, MaxRequests: 4, MinRate: 1, WriteTimeout: 50 * time.Millisecond,
		Limits: Limits{MaxHead: 4 << 10, HeadTimeout: 20 * time.Millisecond, IdleTimeout: time.Second},
		Bodies: NewBodyBudget(12 << 10), SmallBodies: NewBodyBudget(8 << 10),
		CheckHead: func(h RequestHead) HeadVerdict { return HeadVerdict{Refused: h.Target == "/refused", Owner: "a"} },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := RequestBody(r); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			if r.URL.Path == "/refused" {
				t.Error("a request that was refused by its head has run")
			}
			if r.URL.Path == "/large" {
				_, _ = w.Write(make([]byte, 1<<20))
			}
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkReleased waits until the server holds nothing for clients that have left.
func checkReleased(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		u := s.Usage()
		s.mu.Lock()
		requests, owners, evicting := s.requests.total, len(s.requests.byOwner), s.evicting
		s.mu.Unlock()
		if u == (ServerUsage{}) && requests == 0 && owners == 0 && evicting == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("held after all clients have left: %+v, %d requests of %d owners, %d evicted connections", u, requests, owners, evicting)
		}
	}
}

// FuzzClients guards against clients, in any order of their operations, that end the server,
// keep it from serving others, make it run a refused request, or leave memory, requests or
// connections counted after they have left.
func FuzzClients(f *testing.F) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ops := make([]byte, 60)
		for i := range ops {
			ops[i] = byte(rng.UintN(256))
		}
		f.Add(ops)
	}
	f.Fuzz(func(t *testing.T, ops []byte) {
		s := newHostileServer(t)
		defer s.Close()
		h := &hostileClients{addr: s.Addr()}
		for i := 0; i+1 < min(len(ops), 200); i += 2 {
			h.step(ops[i], ops[i+1])
		}
		for _, c := range h.conns {
			if c != nil {
				_ = c.Close()
			}
		}
		served := func() bool {
			c, err := net.DialTimeout("tcp", s.Addr(), time.Second)
			if err != nil {
				return false
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			return err == nil && res.StatusCode == http.StatusOK
		}
		for end := time.Now().Add(20 * time.Second); !served(); {
			if time.Now().After(end) {
				t.Fatal("an ordinary request is not answered")
			}
		}
		checkReleased(t, s)
	})
}
