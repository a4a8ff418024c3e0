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

// Call is a request as its caller saw it. Times are Unix nanoseconds.
type Call struct {
	T0, T1   int64
	Instance string
	Account  fleet.AccountID
	Entry    fleet.EntryID
	Service  fleet.ServiceID
	Class    catalogue.Class
	Key      fleet.RoutingKey
	Client   string // the caller's id of the request
	Status   int
	Outcome  string
	Reason   string
	Whole    bool
}

// Execution is a run of a request at an upstream.
type Execution struct {
	Client   string
	Account  fleet.AccountID
	Service  fleet.ServiceID
	Key      fleet.RoutingKey
	Unit     string
	Upstream fleet.UpstreamID
	Boot     fleet.BootID
	Start    int64
	Effect   int64 // 0: none
	End      int64 // 0: the history ends before
	Refused  bool  // the upstream said not-run before the effect

	Concurrent, Bears int // when it started
}

// History is everything that a run recorded.
type History struct {
	Run        Run
	Calls      []Call      // by T0
	Executions []Execution // by Start
	Overloads  []int64     // times at which an upstream was given more than it bears
	CallerKeys []string    // where upstreams found caller keys
	LastEvent  map[fleet.BootID]int64
}

// Outcomes as the load generator writes them.
const (
	served  = load.OutcomeServed
	notRun  = load.OutcomeNotRun
	unknown = load.OutcomeUnknown
	wrong   = load.OutcomeWrong
)

// Read reads the description and the callers' histories (load*.jsonl) in dir, and
// the histories of the upstreams (upstream-*.jsonl) in upstreams. Executions
// outside the time of the calls belong to another phase and are left out.
func Read(dir, upstreams string) (*History, error) {
	data, err := os.ReadFile(filepath.Join(dir, RunFile))
	if err != nil {
		return nil, errors.Wrap(err, "read the run's description")
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
	h.cut()
	// Checks over an empty history would pass without having checked anything.
	if len(h.Calls) == 0 || len(h.Executions) == 0 {
		return nil, errors.Errorf("%s holds %d calls and %d executions: want both", dir, len(h.Calls), len(h.Executions))
	}
	h.sort()
	return h, nil
}

// cut removes the executions outside the time of the calls.
func (h *History) cut() {
	if len(h.Calls) == 0 {
		return
	}
	from, to := h.span()
	inside := func(t int64) bool { return t >= from && t <= to }
	h.Executions = slices.DeleteFunc(h.Executions, func(x Execution) bool { return !inside(x.Start) })
	h.Overloads = slices.DeleteFunc(h.Overloads, func(t int64) bool { return !inside(t) })
}

// NewHistory returns a history without events.
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

// lines calls f for each whole line. A killed process may leave a last line
// without its end, which is ignored.
func lines(r io.Reader, f func(line []byte) error) error {
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

// ReadCalls adds the history of a load generator.
func (h *History) ReadCalls(r io.Reader) error {
	return lines(r, func(line []byte) error {
		var c Call
		if err := decodeObject(line, map[string]any{
			"t0": &c.T0, "t1": &c.T1, "instance": &c.Instance, "account": (*string)(&c.Account),
			"entry": (*string)(&c.Entry), "service": (*string)(&c.Service), "class": (*string)(&c.Class),
			"key": (*string)(&c.Key), "client-id": &c.Client, "status": &c.Status, "outcome": &c.Outcome,
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

// event is a line of an upstream's history.
type event struct {
	t                     int64
	upstream, boot, event string
	request, client       string
	account, key, unit    string
	concurrent, bears     int
	detail                string
}

// ReadUpstream adds the history of one upstream. Lines are in order of time, and
// the effect or refusal of a started request is directly before its end; so a
// refusal without an end belongs to a request that never started.
func (h *History) ReadUpstream(r io.Reader) error {
	open := make(map[string][]int) // started executions by boot and request id
	var last event
	return lines(r, func(line []byte) error {
		var v event
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
			open[id] = append(open[id], len(h.Executions))
			h.Executions = append(h.Executions, v.execution())
		case "overload":
			h.Overloads = append(h.Overloads, v.t)
		case "caller-key":
			h.CallerKeys = append(h.CallerKeys, v.detail)
		case "end":
			if len(open[id]) == 0 {
				return errors.Errorf("request %q ends without a start", v.request)
			}
			x := &h.Executions[open[id][0]]
			open[id] = open[id][1:]
			x.End = v.t
			if last.boot == v.boot && last.request == v.request {
				x.Refused = last.event == "refuse"
				if last.event == "effect" {
					x.Effect = last.t
				}
			}
		case "effect":
			// Without an end after it, the process was killed in between.
			if len(open[id]) > 0 {
				h.Executions[open[id][0]].Effect = v.t
			}
		}
		last = v
		return nil
	})
}

func (v event) execution() Execution {
	service, _, _ := strings.Cut(v.unit, "/")
	client := v.client
	if client == "" {
		client = v.request
	}
	return Execution{
		Client: client, Account: fleet.AccountID(v.account), Service: fleet.ServiceID(service), Key: fleet.RoutingKey(v.key),
		Unit: v.unit, Upstream: fleet.UpstreamID(v.upstream), Boot: fleet.BootID(v.boot), Start: v.t,
		Concurrent: v.concurrent, Bears: v.bears,
	}
}

// span returns the time of the first arrival and the last answer.
func (h *History) span() (from, to int64) {
	from = h.Calls[0].T0
	for _, c := range h.Calls {
		from = min(from, c.T0)
		to = max(to, c.T1)
	}
	return from, to
}

// steady returns the time before the first event, without the first 2 s, in
// which upstreams are still warming.
func (h *History) steady() (from, to int64) {
	from, to = h.span()
	for _, e := range h.Run.Events {
		to = min(to, e.At.UnixNano())
	}
	if warm := from + int64(2*time.Second); warm < to {
		from = warm
	}
	return from, to
}
