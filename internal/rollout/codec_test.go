package rollout

import (
	"testing"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against counts that hide requests in flight, or overflow, and records whose share or
// times no instance accepts.
func TestUnreasonableNumbers(t *testing.T) {
	for _, text := range []string{
		`{"old-open":-1}`, `{"arrivals":-1}`, `{"arrivals":9223372036854775807}`, `{"routes":{"a":{"new":{"counts":[9223372036854775807,0,0,0]}}}}`,
	} {
		if _, err := DecodeEvidence(jx.DecodeStr(text)); err == nil {
			t.Errorf("evidence %s: no error", text)
		}
	}
	for _, text := range []string{`"share":2`, `"share":-1`, `"elapsed-ms":9223372036854775807`, `"duration-ms":9223372036855`} {
		if _, err := DecodeRecord([]byte(`{"phase":"shift",` + text + `}`)); err == nil {
			t.Errorf("record %s: no error", text)
		}
	}
	large := fleet.Revision(1 << 62)
	if r, err := DecodeRecord(Record{Order: Order{Revision: large}, Phase: PhaseShift}.Encode()); err != nil || r.Order.Revision != large {
		t.Errorf("revision %d: %d, %v", large, r.Order.Revision, err)
	}
}
