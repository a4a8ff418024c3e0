package direct

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against maps of a malformed reply that are applied: inverted spans make the
// comparison of two maps run for ever, and with gaps requests find no holder.
func TestMalformedMapIsRefused(t *testing.T) {
	for name, m := range map[string]string{
		"inverted":       `"whole":false,"services":{"s":[9,3,0]}`,
		"out of range":   `"whole":false,"services":{"s":[0,65536,0]}`,
		"negative":       `"whole":false,"services":{"s":[-1,5,0]}`,
		"unordered":      `"whole":false,"services":{"s":[10,20,0,0,5,0]}`,
		"overlapping":    `"whole":false,"services":{"s":[0,20,0,20,30,0]}`,
		"gap":            `"whole":true,"services":{"s":[0,20,0,30,65535,0]}`,
		"short":          `"whole":true,"services":{"s":[0,20,0]}`,
		"unknown holder": `"whole":true,"services":{"s":[0,65535,1]}`,
	} {
		if _, err := decodeReply([]byte(`{"term":1,"map":{"seq":1,"holders":["u"],` + m + `}}`)); err == nil {
			t.Errorf("%s: the map was accepted", name)
		}
	}
	r, err := decodeReply([]byte(`{"term":1,"map":{"seq":1,"holders":["u","v"],"whole":true,"services":{"s":[0,20,0,21,65535,1]}}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := map[fleet.ServiceID][]keyspace.HeldSpan{"s": {{Span: keyspace.Span{From: 0, To: 20}, Holder: "u"}, {Span: keyspace.Span{From: 21, To: 65535}, Holder: "v"}}}
	if diff := cmp.Diff(want, r.MapSpans); diff != "" {
		t.Error(diff)
	}
}

// Guards against messages of other instances that end the process or make it loop.
func FuzzMessages(f *testing.F) {
	for _, s := range []string{
		`{"term":1,"era":2,"held-ms":1,"demand":{"a":1.5},"map":{"seq":1,"holders":["u"],"whole":true,"services":{"s":[0,65535,0]}}}`,
		`{"term":1,"map":{"seq":1,"holders":["u"],"services":{"s":[9,3,0]}}}`,
		`{"instance":"i","addr":"x","store-age-ms":-1,"speeds":{"u":[-1,-2,-3,-4]},"keys":{"s":[0,65535]},"demand":{"a":-1}}`,
		`{"instance":"i","admission":{"for-ms":700,"services":[{"service":"s","rates":[1,0,2.5],"answered":3,"rejected":1},{"service":"s","holder":"u","rates":[1]}]}}`,
		`{"term":1,"admission":[{"service":"s","shares":[1000,120]},{"service":"s","holder":"u","shares":[1]}]}`,
		`{"instance":"i","leaving":[["u","b","x"]],"limits":[["u","b","x",1,2]],"list":{"seq":1}}`,
		`{"instance":"i","curves":{"u":[1,2,3,4,5,6]},"in-flight-seq":1,"in-flight":[["u","b",1.5]]}`,
	} {
		f.Add([]byte(s))
	}
	whole := &keyspace.Map{Services: map[fleet.ServiceID][]keyspace.HeldSpan{"s": {{Span: keyspace.Span{To: keyspace.Keys - 1}, Holder: "v"}}}}
	f.Fuzz(func(_ *testing.T, data []byte) {
		if rep, err := decodeReport(data); err == nil {
			_, _ = decodeReport(rep.encode())
		}
		_, _ = decodeUpstreamClaim(data)
		_, _ = decodeUpstreamDecision(data)
		r, err := decodeReply(data)
		if err != nil {
			return
		}
		_, _ = decodeReply(r.encode())
		m := whole.With(r.MapVersion, r.MapSpans)
		m.Diff(whole)
		whole.Diff(m)
		for _, k := range []keyspace.Key{0, 1, 30000, keyspace.Keys - 1} {
			m.Holder("s", k)
		}
	})
}
