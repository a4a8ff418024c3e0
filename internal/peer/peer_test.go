package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// fakeHandler sends the poll requests that it receives to polls. Its answers are
// fixed or repeat values of the request, so that tests can compare every field.
type fakeHandler struct{ polls chan PollRequest }

var (
	wantPoll = PollAnswer{
		From: "i2", Boot: "b", Phase: Draining, Known: authority.Revisions{Catalogue: 4, Assignment: 9}, Details: true,
		StoreAge: 30 * time.Millisecond, AnswerAges: map[fleet.InstanceID]time.Duration{"i3": time.Second},
		Reports: map[fleet.UpstreamID]assignment.Report{"u1": {
			Lost: true, Boot: "ub", Limit: 2, Slots: 6, InFlight: 1, Queued: 3, Load: 1.5, Average: 1.25,
			Units:   []assignment.UnitLoad{{Unit: fleet.Unit{Service: "s", Shard: 3}, Rate: 0.5}},
			Granted: []fleet.Grant{{Unit: fleet.Unit{Service: "s", Shard: 7}, Fence: 11}, {Unit: fleet.Unit{Service: "s", Pin: `k"1`}, Fence: 12}},
			Hot:     []assignment.HotKey{{Key: "k", Rate: 0.25}},
		}},
	}
	wantLease = limit.Lease{ID: 5, Granted: 3, TTL: 500 * time.Millisecond, RetryAfter: 20 * time.Millisecond}
)

func (h fakeHandler) Poll(_ context.Context, m PollRequest) PollAnswer {
	h.polls <- m
	return wantPoll
}

func (fakeHandler) Records(_ context.Context, m RecordsRequest) RecordsAnswer {
	return RecordsAnswer{CatalogueRevision: m.Known.Catalogue, Catalogue: []byte("c"), AssignmentRevision: 2, Assignment: []byte{0, 255}}
}

func (fakeHandler) Tokens(_ context.Context, m TokensRequest) TokensAnswer {
	if m.Holder == "i1" && len(m.Call.Closed) == 1 {
		return TokensAnswer{Lease: wantLease}
	}
	return TokensAnswer{}
}

func (fakeHandler) Released(_ context.Context, m ReleasedRequest) ReleasedAnswer {
	return ReleasedAnswer{Released: []bool{m.Grants[0].Fence == 3, false}[:len(m.Grants)]}
}

func (fakeHandler) HomeRelease(_ context.Context, m HomeReleaseRequest) HomeReleaseAnswer {
	return HomeReleaseAnswer{Done: true, Levels: make([]fleet.Tokens, len(m.IDs))}
}

func (fakeHandler) Explain(_ context.Context, m ExplainRequest) ExplainAnswer {
	return ExplainAnswer{Explanation: m.Query}
}

func startServer(t *testing.T, secret Secret) (*Server, fakeHandler) {
	t.Helper()
	h := fakeHandler{polls: make(chan PollRequest, 10)}
	s, err := Listen("127.0.0.1:0", secret, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, h
}

const secret Secret = "0123456789abcdef0123456789abcdef"

// Guards against a message field that is lost or altered between client and
// server.
func TestMessages(t *testing.T) {
	s, h := startServer(t, secret)
	c := NewClient(secret)
	defer c.Close()
	pollRequest := PollRequest{
		From:  assignment.Member{ID: "i1", Boot: "b1", Address: "127.0.0.1:1", ForwardAddress: "127.0.0.1:2", Zone: "z"},
		Phase: Serving, Known: authority.Revisions{Catalogue: 1, Assignment: 2}, Details: true, PollBack: true,
	}
	poll, err := c.Poll(t.Context(), s.Addr(), pollRequest)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wantPoll, poll) + cmp.Diff(pollRequest, <-h.polls); diff != "" {
		t.Error(diff)
	}
	records, err := c.Records(t.Context(), s.Addr(), RecordsRequest{Known: authority.Revisions{Catalogue: 8}})
	if diff := cmp.Diff(RecordsAnswer{CatalogueRevision: 8, Catalogue: []byte("c"), AssignmentRevision: 2, Assignment: []byte{0, 255}}, records); err != nil || diff != "" {
		t.Error(err, diff)
	}
	tokens, err := c.Tokens(t.Context(), s.Addr(), TokensRequest{Holder: "i1", Call: limit.Call{ID: "account:a", Waiting: 1, Closed: []limit.Closed{{Lease: 4, Unused: 2}}}})
	if diff := cmp.Diff(wantLease, tokens.Lease); err != nil || diff != "" {
		t.Error(err, diff)
	}
	released, err := c.Released(t.Context(), s.Addr(), ReleasedRequest{Grants: []fleet.Grant{{Fence: 3}, {Fence: 4}}})
	if diff := cmp.Diff([]bool{true, false}, released.Released); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if a, err := c.HomeRelease(t.Context(), s.Addr(), HomeReleaseRequest{IDs: []fleet.LimitID{"x", "y"}}); err != nil || !a.Done {
		t.Error(a, err)
	}
	if a, err := c.Explain(t.Context(), s.Addr(), ExplainRequest{Query: []byte("q")}); err != nil || string(a.Explanation) != "q" {
		t.Error(a, err)
	}
}

// Guards against an instance that exchanges messages with a process that does not
// hold the fleet secret.
func TestWrongSecret(t *testing.T) {
	s, h := startServer(t, secret)
	c := NewClient("another secret of 32 bytes.......")
	defer c.Close()
	if _, err := c.Poll(t.Context(), s.Addr(), PollRequest{}); err == nil || !strings.Contains(err.Error(), "secret") && !strings.Contains(err.Error(), "receive") {
		t.Errorf("Poll = %v, want a refused handshake", err)
	}
	if len(h.polls) != 0 {
		t.Error("the server handled a poll of a client with the wrong secret")
	}
}

// Guards against a client that keeps using a connection on which nothing arrives
// any more, although a new connection would work.
func TestSilentConnection(t *testing.T) {
	s, _ := startServer(t, secret)
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	stall := make(chan struct{})
	go func() {
		for first := true; ; first = false {
			in, err := proxy.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", s.Addr())
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(in, out) }()
			go copyUntilStalled(out, in, stall, first)
		}
	}()
	c := NewClient(secret)
	defer c.Close()
	if _, err := c.Poll(t.Context(), proxy.Addr().String(), PollRequest{}); err != nil {
		t.Fatal(err)
	}
	close(stall)
	if _, err := c.Poll(t.Context(), proxy.Addr().String(), PollRequest{}); err == nil {
		t.Fatal("a call on the stalled connection was answered")
	}
	if _, err := c.Poll(t.Context(), proxy.Addr().String(), PollRequest{}); err != nil {
		t.Errorf("call after a time-out on the stalled connection: %v", err)
	}
}

// copyUntilStalled copies from src to dst. Once stall is closed, it discards what
// it reads if stallable is set.
func copyUntilStalled(dst, src net.Conn, stall chan struct{}, stallable bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-stall:
			if stallable {
				continue
			}
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against a received message that makes the decoder panic, and against an
// accepted message whose own encoding is refused.
func FuzzUnmarshal(f *testing.F) {
	f.Add(marshal(&wantPoll))
	f.Add(marshal(&TokensRequest{Call: limit.Call{Closed: []limit.Closed{{}}}}))
	f.Add(marshal(&ReleasedRequest{Grants: []fleet.Grant{{}}}))
	f.Add([]byte(`{"from":{"id":"\ud800"},"reports":{"":{}},"levels":[9223372036854775808]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []message{
			&PollRequest{}, &PollAnswer{}, &RecordsRequest{}, &RecordsAnswer{}, &TokensRequest{}, &TokensAnswer{},
			&ReleasedRequest{}, &ReleasedAnswer{}, &HomeReleaseRequest{}, &HomeReleaseAnswer{}, &ExplainRequest{}, &ExplainAnswer{},
		} {
			if err := unmarshal(data, m); err != nil {
				continue
			}
			if err := unmarshal(marshal(m), m); err != nil {
				t.Errorf("%T: its own encoding is refused: %v", m, err)
			}
		}
	})
}

// failOnceListener fails its first accept as a process without free descriptors does.
type failOnceListener struct {
	net.Listener
	failed bool
}

func (l *failOnceListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against an instance that answers no other instance any more after it had no
// free descriptor once.
func TestAcceptContinuesAfterError(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	s := &Server{listener: &failOnceListener{Listener: ln}, ctx: ctx, cancel: cancel}
	go s.accept()
	defer s.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Error("no handshake on the next connection:", err)
	}
}
