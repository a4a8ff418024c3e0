package upstream

import (
	"io"
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// history writes events as JSON objects, one per line. Each line is a single write, so
// that a killed process leaves no partial line.
type history struct {
	w io.Writer
	e jx.Encoder
}

// historyRecord is an event in the history. The events are start, effect, end,
// refuse, overload and caller-key.
type historyRecord struct {
	event  string
	detail string // why the request was refused, how it ended, or where the caller key was found
	in     requestInfo
}

// writeRecord writes a record to the history. The caller holds s.mu, so that records
// are in the order of their time.
func (s *Server) writeRecord(r historyRecord) {
	h := &s.history
	if h.w == nil {
		return
	}
	e := &h.e
	e.Reset()
	text := func(name, v string) {
		if v != "" {
			e.Field(name, func(e *jx.Encoder) { e.Str(v) })
		}
	}
	e.Obj(func(e *jx.Encoder) {
		e.Field("t", func(e *jx.Encoder) { e.Int64(time.Now().UnixNano()) })
		text("upstream", s.cfg.Name)
		text("boot", string(s.boot))
		text("event", r.event)
		text("detail", r.detail)
		text("request-id", string(r.in.id))
		text("client-id", r.in.clientID)
		text("account", string(r.in.account))
		text("key", string(r.in.key))
		if r.in.unit != (fleet.Unit{}) {
			text("unit", r.in.unit.String())
		}
		e.Field("fence", func(e *jx.Encoder) { e.UInt64(uint64(r.in.fence)) })
		e.Field("concurrent", func(e *jx.Encoder) { e.Int(s.running) })
		e.Field("bears", func(e *jx.Encoder) { e.Int(s.warmUp.capacity()) })
	})
	// A write error is ignored: the checks of the report detect the missing event.
	_, _ = h.w.Write(append(e.Bytes(), '\n'))
}
