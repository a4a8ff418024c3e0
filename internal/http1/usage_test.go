package http1

import (
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a usage that leaves out requests in progress, idle connections or bodies.
func TestUsageCountsRequestsInProgress(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	bodies := NewBodyBudget(1 << 20)
	s, err := Listen(ServerConfig{Addr: "127.0.0.1:0", Bodies: bodies, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-finish
	})})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	defer close(finish)
	for _, text := range []string{"GET /", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} { // the first stays incomplete
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	if !bodies.reserve(1000) {
		t.Fatal("the budget has no room")
	}
	<-started // connections are accepted in the order in which they were opened
	if diff := cmp.Diff(ServerUsage{Conns: 2, Requests: 1, BodyBytes: 1000}, s.Usage()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a metric that misses the memory of response bodies.
func TestBodyBytesCountsBodiesInUse(t *testing.T) {
	budget := NewBodyBudget(1 << 20)
	if err := budget.take(unbudgetedBodySize + 1000); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(int64(1000), NewTransport(TransportConfig{Bodies: budget}).BodyBytes()); diff != "" {
		t.Error(diff)
	}
}
