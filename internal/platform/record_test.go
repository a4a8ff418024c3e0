package platform

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// TestEnvelopeRoundTrip checks that encoding and decoding an envelope preserves the
// value, the names and the history.
func TestEnvelopeRoundTrip(t *testing.T) {
	value := rapid.OneOf(
		rapid.SliceOf(rapid.Byte()),
		rapid.Map(rapid.String(), func(s string) []byte { return []byte("{" + s + "}") }),
		rapid.SampledFrom([][]byte{[]byte(`{"a":{"b":[1, 2]} }`), []byte(" {} "), []byte(`{"a":"\u0000"}`), []byte("{}{}")}),
	)
	rapid.Check(t, func(t *rapid.T) {
		want := Record{
			WriteID: rapid.String().Draw(t, "write-id"),
			By:      rapid.String().Draw(t, "by"),
			At:      time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "s"), rapid.Int64Range(0, 1e9-1).Draw(t, "ns")).UTC(),
			Value:   nonNilBytes(value.Draw(t, "value")),
		}
		for range rapid.IntRange(0, maxHistory).Draw(t, "base") {
			want.Base = append(want.Base, Write{
				Revision: fleet.Revision(rapid.Uint64().Draw(t, "revision")),
				ID:       rapid.String().Draw(t, "id"),
				By:       rapid.String().Draw(t, "by"),
			})
		}
		var got Record
		if err := decodeEnvelope(encodeEnvelope(&want), &got); err != nil {
			t.Fatal(err)
		}
		got.Value = nonNilBytes(got.Value)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestDamagedAnswers guards against a truncated or random answer that decodes as an
// empty store or ends the process.
func TestDamagedAnswers(t *testing.T) {
	complete := `{"revision":2,"entries":[{"key":"k","value":"eyJ2YWx1ZSI6e319","revision":2}]}`
	if c, err := decodeChanges([]byte(complete)); err != nil || len(c.Records) != 1 {
		t.Fatalf("decodeChanges = %+v, %v", c, err)
	}
	for n := range len(complete) {
		if c, err := decodeChanges([]byte(complete[:n])); err == nil {
			t.Errorf("%q decoded as %+v", complete[:n], c)
		}
	}
	if c, err := decodeChanges([]byte("{}")); err == nil {
		t.Errorf("{} decoded as %+v", c)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		_, _ = decodeChanges(data)
		_, _ = DecodeList(data)
		_, _ = decodeRevisionAnswer(data)
		_ = decodeEnvelope(data, &Record{})
	})
}
