package direct

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// plainProtocol adds no headers to requests.
type plainProtocol struct{ Protocol }

func (plainProtocol) UpstreamHeader(http.Header, ForwardMetadata) http.Header { return nil }

// Guards against an upstream that gets no requests for a while because the time of one
// request ended before it was sent.
func TestExpiredRequestDoesNotEjectUpstream(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	tr := http1.NewTransport(http1.TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBody: 1 << 10, MaxIdlePerAddr: 1})
	r := New(Settings{Instance: "i1"}, Platform{Protocol: plainProtocol{}, UpstreamTransport: tr}, NewMetrics(), hclog.NewNullLogger())
	now := time.Now()
	r.setUpstreams(now, now, []balance.Registration{{ID: "u", Service: "s", Boot: "1", Addr: ln.Addr().String(), Slots: 6}})
	u := r.upstreams.Get("u")
	for _, left := range []time.Duration{0, time.Microsecond, 10 * time.Microsecond, 50 * time.Microsecond} {
		x := &exchange{method: http.MethodGet, target: "/", deadline: time.Now().Add(left)}
		ctx, cancel := context.WithDeadline(t.Context(), x.deadline)
		a := r.send(ctx, x, u, 0)
		cancel()
		x.attemptGroup.Release()
		if a.verdict == balance.Unreachable {
			t.Errorf("with %v left: the upstream counts as unreachable: %v", left, a.err)
		}
	}
}

// Guards against an upstream that never counts as unreachable because the requests to it
// have less time than a dial.
func TestUnreachableWithinShortDeadline(t *testing.T) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(t.Context(), now)
	defer cancel()
	a := attempt{err: &http1.NotSentError{Addr: "1.2.3.4:5", Err: context.DeadlineExceeded}}
	got := []balance.Verdict{classify(ctx, now, a, minConnectTime-1), classify(ctx, now, a, minConnectTime), classify(ctx, now.Add(-1), a, 0)}
	if diff := cmp.Diff([]balance.Verdict{balance.Abandoned, balance.Unreachable, balance.Unreachable}, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// Guards against a request that reached no upstream and is answered with a status that does
// not let its caller repeat it, and against a promise that an attempt breaks afterwards.
func TestExpiredRequestStatesWhetherItMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		attempts func(s *sends)
		want     int
	}{
		"nothing written":            {func(*sends) {}, http.StatusServiceUnavailable},
		"written":                    {func(s *sends) { _ = s.begin(0) }, http.StatusGatewayTimeout},
		"refused by its upstream":    {func(s *sends) { _ = s.begin(0); s.notRun(0) }, http.StatusServiceUnavailable},
		"refused, then written":      {func(s *sends) { _ = s.begin(0); s.notRun(0); _ = s.begin(1) }, http.StatusGatewayTimeout},
		"written again to one":       {func(s *sends) { _ = s.begin(0); _ = s.begin(0); s.notRun(0) }, http.StatusServiceUnavailable},
		"one of two refused so far ": {func(s *sends) { _ = s.begin(0); _ = s.begin(1); s.notRun(1) }, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fanOut{x: &exchange{}}
			tc.attempts(&f.x.sends)
			if got := f.refuseExpired().status; got != tc.want {
				t.Errorf("status %d, want %d", got, tc.want)
			}
			if f.x.sends.begin(2) == nil {
				t.Error("an attempt may be written after the answer")
			}
		})
	}
}
