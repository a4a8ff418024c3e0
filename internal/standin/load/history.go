package load

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
)

// writer writes the history, one JSON object per line.
type writer struct {
	mu  sync.Mutex
	w   *bufio.Writer // nil: none
	e   jx.Encoder
	err error
}

func newWriter(w io.Writer) *writer {
	if w == nil {
		return &writer{}
	}
	return &writer{w: bufio.NewWriterSize(w, 1<<16)}
}

func (h *writer) write(r request, entry Entry, res result) {
	if h.w == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &h.e
	e.Reset()
	text := func(name, v string) {
		if v != "" {
			e.Field(name, func(e *jx.Encoder) { e.Str(v) })
		}
	}
	e.Obj(func(e *jx.Encoder) {
		e.Field("t0", func(e *jx.Encoder) { e.Int64(r.at.UnixNano()) })
		e.Field("t1", func(e *jx.Encoder) { e.Int64(res.end.UnixNano()) })
		text("instance", r.target.Name)
		text("account", string(r.account.ID))
		text("entry", string(entry.ID))
		text("service", string(entry.Service))
		text("class", string(entry.Class))
		text("key", string(r.key))
		text("client-id", r.id)
		text("request-id", res.requestID)
		e.Field("status", func(e *jx.Encoder) { e.Int(res.status) })
		text("outcome", res.outcome)
		text("reason", res.reason)
		e.Field("whole", func(e *jx.Encoder) { e.Bool(res.whole) })
	})
	if _, err := h.w.Write(append(e.Bytes(), '\n')); err != nil && h.err == nil {
		h.err = err
	}
}

func (h *writer) flush() error {
	if h.w == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.w.Flush(); err != nil && h.err == nil {
		h.err = err
	}
	return h.err
}

// Summary counts what happened.
type Summary struct {
	Took     time.Duration
	Requests int
	Outcomes map[string]int // by outcome and reason, as in "not-run overloaded"
	latency  map[catalogue.Class]*hdrhistogram.Histogram
}

func newSummary() Summary {
	return Summary{Outcomes: make(map[string]int), latency: make(map[catalogue.Class]*hdrhistogram.Histogram)}
}

// maxLatency is the longest latency that the histograms tell apart.
const maxLatency = time.Minute

func (s *Summary) add(class catalogue.Class, at time.Time, res result) {
	s.Requests++
	s.Outcomes[strings.TrimSpace(res.outcome+" "+res.reason)]++
	if res.outcome != OutcomeServed {
		return
	}
	h := s.latency[class]
	if h == nil {
		h = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
		s.latency[class] = h
	}
	_ = h.RecordValue(min(max(1, res.end.Sub(at).Microseconds()), maxLatency.Microseconds()))
}

// Latency returns a percentile of the served requests of a class.
func (s *Summary) Latency(class catalogue.Class, percentile float64) time.Duration {
	h := s.latency[class]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

// String returns several lines for people.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests in %s\n", s.Requests, s.Took.Round(time.Millisecond))
	names := make([]string, 0, len(s.Outcomes))
	for name := range s.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %-28s %d\n", name, s.Outcomes[name])
	}
	for _, class := range []catalogue.Class{catalogue.Idempotent, catalogue.NonIdempotent} {
		if s.latency[class] != nil {
			fmt.Fprintf(&b, "  latency %-15s p50 %s, p99 %s, p99.9 %s\n", class,
				s.Latency(class, 50), s.Latency(class, 99), s.Latency(class, 99.9))
		}
	}
	return b.String()
}
