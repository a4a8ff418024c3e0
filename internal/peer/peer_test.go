package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// echo answers with what it was asked, so that every field makes a round trip.
type echo struct{ polls chan PollRequest }

var (
	wantPoll = PollAnswer{
		From: "i2", Boot: "b", Phase: Draining, Known: authority.Known{Catalogue: 4, Assignment: 9}, Details: true,
		StoreAge: 30 * time.Millisecond, Heard: map[fleet.InstanceID]time.Duration{"i3": time.Second},
		Reports: map[fleet.UpstreamID]assignment.Report{"u1": {
			Lost: true, Boot: "ub", Limit: 2, Slots: 6, InFlight: 1, Queued: 3, Load: 1.5, Average: 1.25,
			Units:   []assignment.UnitLoad{{Unit: fleet.Unit{Service: "s", Shard: 3}, Rate: 0.5}},
			Granted: []fleet.Grant{{Unit: fleet.Unit{Service: "s", Shard: 7}, Fence: 11}, {Unit: fleet.Unit{Service: "s", Pin: `k"1`}, Fence: 12}},
			Hot:     []assignment.HotKey{{Key: "k", Rate: 0.25}},
		}},
	}
	wantLease = limit.Lease{ID: 5, Granted: 3, TTL: 500 * time.Millisecond, RetryAfter: 20 * time.Millisecond}
)

func (h echo) Poll(_ context.Context, m PollRequest) PollAnswer {
	h.polls <- m
	return wantPoll
}

func (echo) Records(_ context.Context, m RecordsRequest) RecordsAnswer {
	return RecordsAnswer{CatalogueRevision: m.Known.Catalogue, Catalogue: []byte("c"), AssignmentRevision: 2, Assignment: []byte{0, 255}}
}

func (echo) Tokens(_ context.Context, m TokensRequest) TokensAnswer {
	if m.Holder == "i1" && len(m.Call.Closed) == 1 {
		return TokensAnswer{Lease: wantLease}
	}
	return TokensAnswer{}
}

func (echo) Released(_ context.Context, m ReleasedRequest) ReleasedAnswer {
	return ReleasedAnswer{Released: []bool{m.Grants[0].Fence == 3, false}[:len(m.Grants)]}
}

func (echo) HomeRelease(_ context.Context, m HomeReleaseRequest) HomeReleaseAnswer {
	return HomeReleaseAnswer{Done: true, Levels: make([]fleet.Tokens, len(m.IDs))}
}

func (echo) Explain(_ context.Context, m ExplainRequest) ExplainAnswer {
	return ExplainAnswer{Explanation: m.Query}
}

func start(t *testing.T, secret Secret) (*Server, echo) {
	t.Helper()
	h := echo{polls: make(chan PollRequest, 10)}
	s, err := Listen("127.0.0.1:0", secret, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, h
}

const secret Secret = "0123456789abcdef0123456789abcdef"

// Guards against a field that is lost or altered between instances.
func TestMessages(t *testing.T) {
	s, h := start(t, secret)
	c := NewClient(secret)
	defer c.Close()
	ask := PollRequest{
		From:  assignment.Member{ID: "i1", Boot: "b1", Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Zone: "z"},
		Phase: Serving, Known: authority.Known{Catalogue: 1, Assignment: 2}, Details: true, PollBack: true,
	}
	poll, err := c.Poll(t.Context(), s.Addr(), ask)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wantPoll, poll) + cmp.Diff(ask, <-h.polls); diff != "" {
		t.Error(diff)
	}
	records, err := c.Records(t.Context(), s.Addr(), RecordsRequest{Known: authority.Known{Catalogue: 8}})
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

// Guards against an instance that takes messages from, or sends them to, a
// process that does not hold the fleet secret.
func TestWrongSecret(t *testing.T) {
	s, h := start(t, secret)
	c := NewClient("another secret of 32 bytes.......")
	defer c.Close()
	if _, err := c.Poll(t.Context(), s.Addr(), PollRequest{}); err == nil || !strings.Contains(err.Error(), "secret") && !strings.Contains(err.Error(), "receive") {
		t.Errorf("Poll = %v, want a refused handshake", err)
	}
	if len(h.polls) != 0 {
		t.Error("the poll was handled")
	}
}

// Guards against a caller that stays on a connection that went silent while new
// ones work.
func TestSilentConnection(t *testing.T) {
	s, _ := start(t, secret)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = front.Close() }()
	silent := make(chan struct{})
	go func() {
		for first := true; ; first = false {
			in, err := front.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", s.Addr())
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(in, out) }()
			go copyUntil(out, in, silent, first)
		}
	}()
	c := NewClient(secret)
	defer c.Close()
	if _, err := c.Poll(t.Context(), front.Addr().String(), PollRequest{}); err != nil {
		t.Fatal(err)
	}
	close(silent)
	if _, err := c.Poll(t.Context(), front.Addr().String(), PollRequest{}); err == nil {
		t.Fatal("a call on the silent connection was answered")
	}
	if _, err := c.Poll(t.Context(), front.Addr().String(), PollRequest{}); err != nil {
		t.Errorf("call after the silence: %v", err)
	}
}

// copyUntil forwards bytes until silent closes, then drops them if it applies.
func copyUntil(dst, src net.Conn, silent chan struct{}, applies bool) {
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-silent:
			if applies {
				continue
			}
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against a message that crashes the instance that receives it.
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
