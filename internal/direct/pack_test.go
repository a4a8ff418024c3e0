package direct

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against replies that are read back as others, and against lists of
// upstreams that cross zones as plain text.
func TestPack(t *testing.T) {
	long := make([]byte, 10*packFrom)
	for i := range long {
		long[i] = "upstream "[i%9]
	}
	for name, body := range map[string][]byte{"empty": {}, "short": []byte("{}"), "long": long} {
		h := http.Header{}
		sent := pack(h, body)
		got, err := unpack(&http1.Response{Header: h, Body: sent})
		if diff := cmp.Diff(string(body), string(got)); err != nil || diff != "" {
			t.Errorf("%s: %v %s", name, err, diff)
		}
		if name == "long" && len(sent) > len(body)/10 {
			t.Errorf("%d bytes of %d are sent", len(sent), len(body))
		}
	}
	for name, res := range map[string]*http1.Response{
		"cut":              {Header: http.Header{headerEncoding: {packed}}, Body: []byte{0x4a}},
		"unknown encoding": {Header: http.Header{headerEncoding: {"br"}}, Body: []byte("x")},
	} {
		if _, err := unpack(res); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against demand that is told with every report, though news cut reports short
// several times a second.
func TestDemandIsToldOncePerPace(t *testing.T) {
	r, _ := newRouter(t, "a")
	now := time.Now()
	if rep := r.ownReport(now); rep.Demand == nil {
		t.Error("the first report has no demand")
	}
	if rep := r.ownReport(now.Add(reportWait / 2)); rep.Demand != nil {
		t.Errorf("half a pace later: demand %v", rep.Demand)
	}
	if rep := r.ownReport(now.Add(2 * reportWait)); rep.Demand == nil {
		t.Error("two paces later: no demand")
	}
	l := &leadership{members: map[fleet.InstanceID]member{"b": {demand: map[fleet.AccountID]float64{"x": 7}}}, owner: keyspace.NewOwner(now, 1, keyspace.Timing{}, keyspace.Record{})}
	r.takeReport(now, l, report{Instance: "b"})
	r.sumDemand(now, l)
	if diff := cmp.Diff(map[fleet.AccountID]float64{"x": 7}, r.totalDemand); diff != "" {
		t.Error("after a report without demand: ", diff)
	}
}
