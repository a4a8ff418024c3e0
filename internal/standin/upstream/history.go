package upstream

import (
	"io"
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// history writes one JSON object per line. Each line is one write, so that a
// killed process leaves whole lines.
type history struct {
	w io.Writer
	e jx.Encoder
}

// record is an event of the history: start, effect, end, refuse, overload or
// caller-key.
type record struct {
	event  string
	detail string // why the request was refused, or how it ended
	in     incoming
}

// record writes to the history; s.mu is held, so lines are in order of time.
func (s *Server) record(r record) {
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
		e.Field("bears", func(e *jx.Encoder) { e.Int(s.warmth.bears()) })
	})
	// A history that cannot be written shows as missing events to the checker.
	_, _ = h.w.Write(append(e.Bytes(), '\n'))
}
