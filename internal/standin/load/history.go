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

// historyWriter writes one JSON object per line for each request.
type historyWriter struct {
	mu  sync.Mutex
	w   *bufio.Writer // nil if no history is written
	e   jx.Encoder
	err error
}

func newHistoryWriter(w io.Writer) *historyWriter {
	if w == nil {
		return &historyWriter{}
	}
	return &historyWriter{w: bufio.NewWriterSize(w, 1<<16)}
}

func (h *historyWriter) write(r request, entry Entry, res result) {
	if h.w == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &h.e
	e.Reset()
	stringField := func(name, v string) {
		if v != "" {
			e.Field(name, func(e *jx.Encoder) { e.Str(v) })
		}
	}
	e.Obj(func(e *jx.Encoder) {
		e.Field("t0", func(e *jx.Encoder) { e.Int64(r.arrival.UnixNano()) })
		e.Field("t1", func(e *jx.Encoder) { e.Int64(res.end.UnixNano()) })
		stringField("instance", r.target.Name)
		stringField("account", string(r.account.ID))
		stringField("entry", string(entry.ID))
		stringField("service", string(entry.Service))
		stringField("class", string(entry.Class))
		stringField("key", string(r.key))
		stringField("client-id", r.id)
		stringField("request-id", res.requestID)
		e.Field("status", func(e *jx.Encoder) { e.Int(res.status) })
		stringField("outcome", res.outcome)
		stringField("reason", res.reason)
		e.Field("whole", func(e *jx.Encoder) { e.Bool(res.whole) })
	})
	if _, err := h.w.Write(append(e.Bytes(), '\n')); err != nil && h.err == nil {
		h.err = err
	}
}

func (h *historyWriter) flush() error {
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

// Summary holds the number of requests by outcome and the latencies of served
// requests.
type Summary struct {
	Elapsed   time.Duration
	Requests  int
	Outcomes  map[string]int // number of requests by outcome and reason, such as "not-run overloaded"
	latencies map[catalogue.Class]*hdrhistogram.Histogram
}

func newSummary() Summary {
	return Summary{Outcomes: make(map[string]int), latencies: make(map[catalogue.Class]*hdrhistogram.Histogram)}
}

// maxRecordedLatency is the upper bound of the latency histograms. Longer
// latencies are recorded as this value.
const maxRecordedLatency = time.Minute

func (s *Summary) record(class catalogue.Class, at time.Time, res result) {
	s.Requests++
	s.Outcomes[strings.TrimSpace(res.outcome+" "+res.reason)]++
	if res.outcome != OutcomeServed {
		return
	}
	h := s.latencies[class]
	if h == nil {
		h = hdrhistogram.New(1, maxRecordedLatency.Microseconds(), 3)
		s.latencies[class] = h
	}
	_ = h.RecordValue(min(max(1, res.end.Sub(at).Microseconds()), maxRecordedLatency.Microseconds()))
}

// Latency returns a percentile (0 to 100) of the latencies of the served requests
// of a class, or 0 if none was served.
func (s *Summary) Latency(class catalogue.Class, percentile float64) time.Duration {
	h := s.latencies[class]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
}

// String formats the summary as several lines of text for display.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests in %s\n", s.Requests, s.Elapsed.Round(time.Millisecond))
	names := make([]string, 0, len(s.Outcomes))
	for name := range s.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %-28s %d\n", name, s.Outcomes[name])
	}
	for _, class := range []catalogue.Class{catalogue.Idempotent, catalogue.NonIdempotent} {
		if s.latencies[class] != nil {
			fmt.Fprintf(&b, "  latency %-15s p50 %s, p99 %s, p99.9 %s\n", class,
				s.Latency(class, 50), s.Latency(class, 99), s.Latency(class, 99.9))
		}
	}
	return b.String()
}
