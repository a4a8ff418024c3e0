package report

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Call is a request as its load generator recorded it. T0 is the scheduled
// arrival and T1 the end, both in Unix nanoseconds.
type Call struct {
	T0, T1   int64
	Instance string
	Account  fleet.AccountID
	Entry    fleet.EntryID
	Service  fleet.ServiceID
	Class    catalogue.Class
	Key      fleet.RoutingKey
	ClientID string // id that the load generator gave to the request
	Status   int
	Outcome  string
	Reason   string
	Whole    bool // the response was complete and belonged to this request
}

// Execution is one execution of a request at an upstream. Times are Unix
// nanoseconds.
type Execution struct {
	ClientID string // id that the load generator gave to the request
	Account  fleet.AccountID
	Service  fleet.ServiceID
	Key      fleet.RoutingKey
	Unit     string // unit of ownership: a shard or a pinned key of the service
	Upstream fleet.UpstreamID
	Boot     fleet.BootID
	Start    int64
	Effect   int64 // time of the effect; 0 means none was recorded
	End      int64 // 0 means that no end was recorded
	Refused  bool  // the upstream refused the request as not-run before any effect

	Concurrent, Bears int // number of executions and the upstream's capacity for them, both at Start
}

// History holds all records of a run.
type History struct {
	Run        Run
	Calls      []Call                 // sorted by T0
	Executions []Execution            // sorted by Start
	Overloads  []int64                // times, in Unix nanoseconds, at which an upstream reported more work than its capacity
	CallerKeys []string               // parts of requests in which upstreams found caller keys
	LastEvent  map[fleet.BootID]int64 // Unix nanoseconds of the last record of each boot of an upstream
}

// Outcomes that the load generator records.
const (
	served  = load.OutcomeServed
	notRun  = load.OutcomeNotRun
	unknown = load.OutcomeUnknown
	wrong   = load.OutcomeWrong
)

// Read reads the description of a run and the histories of its load generators
// (load*.jsonl) from dir, and the histories of the upstreams (upstream-*.jsonl)
// from the directory upstreams. Executions that started before the first call or
// after the end of the last one belong to another phase and are omitted.
func Read(dir, upstreams string) (*History, error) {
	data, err := os.ReadFile(filepath.Join(dir, RunFile))
	if err != nil {
		return nil, errors.Wrap(err, "read run description")
	}
	run, err := decodeRun(data)
	if err != nil {
		return nil, errors.Wrapf(err, "decode %s", filepath.Join(dir, RunFile))
	}
	h := NewHistory(run)
	for _, group := range []struct {
		pattern string
		read    func(io.Reader) error
	}{{filepath.Join(dir, "load*.jsonl"), h.ReadCalls}, {filepath.Join(upstreams, "upstream-*.jsonl"), h.ReadUpstream}} {
		names, err := filepath.Glob(group.pattern)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			if err := readFile(name, group.read); err != nil {
				return nil, err
			}
		}
	}
	h.dropOutsideSpan()
	// The checks would pass on an empty history without checking anything.
	if len(h.Calls) == 0 || len(h.Executions) == 0 {
		return nil, errors.Errorf("history in %s has %d calls and %d executions, want at least one of each", dir, len(h.Calls), len(h.Executions))
	}
	h.sort()
	return h, nil
}

// dropOutsideSpan removes executions and overloads before the first call or after
// the end of the last one.
func (h *History) dropOutsideSpan() {
	if len(h.Calls) == 0 {
		return
	}
	from, to := h.span()
	inside := func(t int64) bool { return t >= from && t <= to }
	h.Executions = slices.DeleteFunc(h.Executions, func(x Execution) bool { return !inside(x.Start) })
	h.Overloads = slices.DeleteFunc(h.Overloads, func(t int64) bool { return !inside(t) })
}

// NewHistory returns an empty history of the run.
func NewHistory(run Run) *History {
	return &History{Run: run, LastEvent: make(map[fleet.BootID]int64)}
}

func readFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := read(f); err != nil {
		return errors.Wrap(err, name)
	}
	return nil
}

func (h *History) sort() {
	slices.SortStableFunc(h.Calls, func(a, b Call) int { return compare(a.T0, b.T0) })
	slices.SortStableFunc(h.Executions, func(a, b Execution) int { return compare(a.Start, b.Start) })
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// forEachLine calls f for each line that ends in a newline. A last line without
// one is ignored, because a killed process may leave an incomplete line.
func forEachLine(r io.Reader, f func(line []byte) error) error {
	br := bufio.NewReaderSize(r, 1<<16)
	for n := 1; ; n++ {
		line, err := br.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		if err := f(line); err != nil {
			return errors.Wrapf(err, "line %d", n)
		}
	}
}

// ReadCalls reads the history of a load generator and adds its calls.
func (h *History) ReadCalls(r io.Reader) error {
	return forEachLine(r, func(line []byte) error {
		var c Call
		if err := decodeObject(line, map[string]any{
			"t0": &c.T0, "t1": &c.T1, "instance": &c.Instance, "account": (*string)(&c.Account),
			"entry": (*string)(&c.Entry), "service": (*string)(&c.Service), "class": (*string)(&c.Class),
			"key": (*string)(&c.Key), "client-id": &c.ClientID, "status": &c.Status, "outcome": &c.Outcome,
			"reason": &c.Reason, "whole": &c.Whole,
		}); err != nil {
			return err
		}
		h.Calls = append(h.Calls, c)
		return nil
	})
}

func decodeObject(line []byte, out map[string]any) error {
	return jx.DecodeBytes(line).Obj(func(d *jx.Decoder, name string) (err error) {
		switch p := out[name].(type) {
		case *string:
			*p, err = d.Str()
		case *int64:
			*p, err = d.Int64()
		case *int:
			*p, err = d.Int()
		case *bool:
			*p, err = d.Bool()
		default:
			err = d.Skip()
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
		return nil
	})
}

// upstreamEvent is one line of the history of an upstream.
type upstreamEvent struct {
	t                     int64
	upstream, boot, event string
	request, client       string
	account, key, unit    string
	concurrent, bears     int
	detail                string
}

// ReadUpstream reads the history of one upstream and adds its executions. The
// lines must be sorted by time, and the effect or refusal of a started request
// must directly precede its end. A refusal without an end belongs to a request
// that never started.
func (h *History) ReadUpstream(r io.Reader) error {
	running := make(map[string][]int) // indexes of the executions without an end, by boot and request id
	var last upstreamEvent
	return forEachLine(r, func(line []byte) error {
		var v upstreamEvent
		if err := decodeObject(line, map[string]any{
			"t": &v.t, "upstream": &v.upstream, "boot": &v.boot, "event": &v.event, "request-id": &v.request,
			"client-id": &v.client, "account": &v.account, "key": &v.key, "unit": &v.unit,
			"concurrent": &v.concurrent, "bears": &v.bears, "detail": &v.detail,
		}); err != nil {
			return err
		}
		h.LastEvent[fleet.BootID(v.boot)] = max(h.LastEvent[fleet.BootID(v.boot)], v.t)
		id := v.boot + " " + v.request
		switch v.event {
		case "start":
			running[id] = append(running[id], len(h.Executions))
			h.Executions = append(h.Executions, v.toExecution())
		case "overload":
			h.Overloads = append(h.Overloads, v.t)
		case "caller-key":
			h.CallerKeys = append(h.CallerKeys, v.detail)
		case "end":
			if len(running[id]) == 0 {
				return errors.Errorf("request %q has an end without a start", v.request)
			}
			x := &h.Executions[running[id][0]]
			running[id] = running[id][1:]
			x.End = v.t
			if last.boot == v.boot && last.request == v.request {
				x.Refused = last.event == "refuse"
				if last.event == "effect" {
					x.Effect = last.t
				}
			}
		case "effect":
			// The process may have been killed before it recorded the end.
			if len(running[id]) > 0 {
				h.Executions[running[id][0]].Effect = v.t
			}
		}
		last = v
		return nil
	})
}

func (v upstreamEvent) toExecution() Execution {
	service, _, _ := strings.Cut(v.unit, "/")
	client := v.client
	if client == "" {
		client = v.request
	}
	return Execution{
		ClientID: client, Account: fleet.AccountID(v.account), Service: fleet.ServiceID(service), Key: fleet.RoutingKey(v.key),
		Unit: v.unit, Upstream: fleet.UpstreamID(v.upstream), Boot: fleet.BootID(v.boot), Start: v.t,
		Concurrent: v.concurrent, Bears: v.bears,
	}
}

// span returns the times of the first arrival and of the last end of a call.
func (h *History) span() (from, to int64) {
	from = h.Calls[0].T0
	for _, c := range h.Calls {
		from = min(from, c.T0)
		to = max(to, c.T1)
	}
	return from, to
}

// steadyPeriod returns the period before the first event. It omits the first 2 s,
// in which upstreams are still warming up, unless the first event is earlier.
func (h *History) steadyPeriod() (from, to int64) {
	from, to = h.span()
	for _, e := range h.Run.Events {
		to = min(to, e.At.UnixNano())
	}
	if warm := from + int64(2*time.Second); warm < to {
		from = warm
	}
	return from, to
}
