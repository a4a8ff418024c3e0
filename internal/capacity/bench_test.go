package capacity

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Benchmarks of code paths whose own packages have no benchmark for them.

func BenchmarkDecide(b *testing.B) {
	x := route.NewIndex(callerKeys(1000))
	in := route.Incoming{Method: http.MethodGet, Target: "/halls/17", Header: http.Header{"X-Api-Key": {"\x00\x00\x00\x00\x00\x00\x00\x07"}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := route.Decide(epoch, x, in); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

func BenchmarkHomeTake(b *testing.B) {
	h, id, now := limit.NewHome(tokenTTL), fleet.AccountLimit("a"), epoch
	h.Activate(now, id, fleet.Limit{Rate: 1000, Burst: 200}, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		h.HandleCall(now, "i", limit.Call{ID: id, Waiting: 1})
	}
}

func BenchmarkPoll(b *testing.B) {
	p, err := startPeerGroup(1, &fakeMember{fixedAnswer: pollAnswer(12)})
	if err != nil {
		b.Fatal(err)
	}
	defer p.close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.client.Poll(context.Background(), p.servers[0].Addr(), pollRequest()); err != nil {
			b.Fatal(err)
		}
	}
}
