package report

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// testRun returns a run with two services of two upstreams each, one account with
// a limit and one without.
func testRun(events ...Event) Run {
	return Run{
		Name: "test", Services: []fleet.ServiceID{"lookup", "booking"},
		Upstreams: []Upstream{{"lookup-1", "lookup", "a"}, {"lookup-2", "lookup", "b"}, {"booking-1", "booking", "a"}, {"booking-2", "booking", "b"}},
		Entries: []Entry{
			{ID: "find", Service: "lookup", Class: catalogue.Idempotent, Weight: 1},
			{ID: "book", Service: "booking", Class: catalogue.NonIdempotent, Weight: 2},
		},
		Accounts: []Account{{ID: "acme", Limit: fleet.Limit{Rate: 1, Burst: 2}}, {ID: "free"}},
		Events:   events,
	}
}

// nanos converts a decimal number of milliseconds to nanoseconds.
func nanos(ms string) string {
	if ms == "0" {
		return ms
	}
	return ms + "000000"
}

// parseHistory parses a history. Each line of text is one of
//
//	call ID T0 T1 ACCOUNT ENTRY KEY OUTCOME [REASON]
//	run ID START END UPSTREAM KEY [refused|cut]
//
// with times in milliseconds. A run line describes an execution. It takes effect
// at END unless it is refused or cut, that is, interrupted without a recorded end.
func parseHistory(t *testing.T, run Run, text string) *History {
	t.Helper()
	h := NewHistory(run)
	var calls strings.Builder
	upstreams := make(map[string]*strings.Builder)
	for line := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
		w := strings.Fields(line)
		if w[0] == "call" {
			class, service := "idempotent", "lookup"
			if w[5] == "book" {
				class, service = "non-idempotent", "booking"
			}
			whole := "true"
			if w[7] == "wrong" {
				whole = "false"
			}
			calls.WriteString(`{"t0":` + nanos(w[2]) + `,"t1":` + nanos(w[3]) + `,"account":"` + w[4] + `","entry":"` + w[5] +
				`","service":"` + service + `","class":"` + class + `","key":"` + w[6] + `","client-id":"` + w[1] +
				`","status":200,"outcome":"` + w[7] + `","reason":"` + strings.Join(w[8:], "") + `","whole":` + whole + "}\n")
			continue
		}
		b := upstreams[w[4]]
		if b == nil {
			b = &strings.Builder{}
			upstreams[w[4]] = b
		}
		service, _, _ := strings.Cut(w[4], "-")
		event := func(at, name string) {
			b.WriteString(`{"t":` + nanos(at) + `,"upstream":"` + w[4] + `","boot":"` + w[4] + `-boot","event":"` + name +
				`","request-id":"r` + w[1] + `","client-id":"` + w[1] + `","account":"acme","key":"` + w[5] + `","unit":"` + service + `/` + w[5] +
				`","concurrent":1,"bears":1}` + "\n")
		}
		event(w[2], "start")
		switch strings.Join(w[6:], "") {
		case "refused":
			event(w[3], "refuse")
			event(w[3], "end")
		case "cut":
		default:
			event(w[3], "effect")
			event(w[3], "end")
		}
	}
	if err := h.ReadCalls(strings.NewReader(calls.String())); err != nil {
		t.Fatal(err)
	}
	for _, b := range upstreams {
		if err := h.ReadUpstream(strings.NewReader(b.String())); err != nil {
			t.Fatal(err)
		}
	}
	h.sort()
	return h
}

// TestChecks checks that each violation is found, and that correct histories pass.
func TestChecks(t *testing.T) {
	const (
		above     = "requests above a limit"
		duplicate = "duplicates of non-idempotent requests"
		ran       = "not-run refusals that ran"
		owners    = "two owners at the same time"
		wrongOnes = "wrong or short answers"
		zone      = "requests in a zone out of service"
	)
	zoneOut := []Event{{time.UnixMilli(1000), ZoneOut, "b"}, {time.UnixMilli(9000), ZoneIn, "b"}}
	for _, c := range []struct {
		name    string
		events  []Event
		history string
		want    map[string]float64
	}{
		{
			name: "correct",
			history: `
				call 1 0 20 acme find k served
				run 1 5 15 lookup-1 k
				call 2 20 40 acme book k not-run no-owner
				run 2 25 35 booking-1 k refused
				call 3 2000 2040 acme book k unknown timeout
				run 3 2005 2015 booking-1 k cut`,
		},
		{
			name: "idempotent request executed twice is no duplicate",
			history: `
				call 1 0 40 acme find k served
				run 1 5 15 lookup-1 k
				run 1 20 30 lookup-1 k`,
		},
		{
			name: "non-idempotent request executed twice",
			history: `
				call 1 0 40 acme book k served
				run 1 5 15 booking-1 k
				run 1 20 30 booking-2 k`,
			want: map[string]float64{duplicate: 1},
		},
		{
			name: "non-idempotent request executed again after an interrupted execution",
			history: `
				call 1 0 40 acme book k served
				run 1 5 15 booking-1 k cut
				run 1 20 30 booking-2 k`,
			want: map[string]float64{duplicate: 1},
		},
		{
			name: "refused as not-run after its effect",
			history: `
				call 1 0 40 acme book k not-run no-owner
				run 1 5 15 booking-1 k`,
			want: map[string]float64{ran: 1},
		},
		{
			name: "refused as not-run after an interrupted execution",
			history: `
				call 1 0 40 acme book k not-run no-owner
				run 1 5 15 booking-1 k cut`,
			want: map[string]float64{ran: 1},
		},
		{
			name: "overlapping executions at two upstreams",
			history: `
				call 1 0 40 acme find k served
				run 1 5 20 lookup-1 k
				call 2 0 40 acme find k served
				run 2 19 30 lookup-2 k`,
			want: map[string]float64{owners: 1},
		},
		{
			name: "overlapping executions of which one was refused",
			history: `
				call 1 0 40 acme find k not-run no-owner
				run 1 5 20 lookup-1 k refused
				call 2 0 40 acme find k served
				run 2 19 30 lookup-2 k`,
		},
		{
			name:   "interrupted execution ends at the loss of its upstream",
			events: []Event{{time.UnixMilli(10), UpstreamLost, "lookup-1"}},
			history: `
				call 1 0 40 acme find k unknown connection-lost
				run 1 5 20 lookup-1 k cut
				call 2 0 40 acme find k served
				run 2 11 30 lookup-2 k`,
		},
		{
			name: "response of another request",
			history: `
				call 1 0 20 acme find k wrong
				run 1 5 15 lookup-1 k`,
			want: map[string]float64{wrongOnes: 1},
		},
		{
			name: "burst of 3 requests at a limit of 2",
			history: `
				call 1 0 20 acme find a served
				run 1 1 15 lookup-1 a
				call 2 0 20 acme find b served
				run 2 1 15 lookup-1 b
				call 3 0 20 acme find c served
				run 3 1 15 lookup-1 c`,
			want: map[string]float64{above: 1},
		},
		{
			name: "requests that waited between admission and execution",
			history: `
				call 1 0 2020 acme find a served
				run 1 2000 2015 lookup-1 a
				call 2 1000 2020 acme find b served
				run 2 2000 2015 lookup-1 b
				call 3 2000 2020 acme find c served
				run 3 2000 2015 lookup-1 c`,
		},
		{
			name: "long window above the rate",
			history: `
				call 1 0 20 acme find a served
				run 1 1 15 lookup-1 a
				call 2 0 20 acme find a served
				run 2 1 15 lookup-1 a
				call 3 1000 1020 acme find a served
				run 3 1001 1015 lookup-1 a
				call 4 1500 1520 acme find a served
				run 4 1501 1515 lookup-1 a`,
			want: map[string]float64{above: 1},
		},
		{
			name:   "execution started in a zone out of service",
			events: zoneOut,
			history: `
				call 1 3000 3020 acme find a served
				run 1 3001 3015 lookup-2 a
				call 2 5000 5020 acme find a served
				run 2 5001 5015 lookup-2 a
				call 3 6000 6020 acme find b served
				run 3 6001 6015 lookup-1 b
				call 4 9500 9520 acme find a served
				run 4 9501 9515 lookup-2 a`,
			want: map[string]float64{zone: 1},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Compute(parseHistory(t, testRun(c.events...), c.history))
			got := make(map[string]float64)
			for _, f := range r.Broken() {
				got[f.Name] = f.Value
			}
			if c.want == nil {
				c.want = map[string]float64{}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("broken figures (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOverload checks that work above the capacity of an upstream is found, both as
// a start above the capacity and as an overload event.
func TestOverload(t *testing.T) {
	for _, line := range []string{
		`{"t":5,"upstream":"u","boot":"b","event":"start","request-id":"r","unit":"lookup/1","concurrent":3,"bears":2}`,
		`{"t":5,"upstream":"u","boot":"b","event":"overload","concurrent":3,"bears":2}`,
	} {
		h := parseHistory(t, testRun(), "call 1 0 20 acme find k served")
		if err := h.ReadUpstream(strings.NewReader(line + "\n")); err != nil {
			t.Fatal(err)
		}
		if f, _ := Compute(h).Find("work above what an upstream bears"); f.Value != 1 {
			t.Errorf("%s: work above capacity is %v, want 1", line, f.Value)
		}
	}
}

// TestPinnedKey checks that two owners are found if a routing key belongs to a
// shard at one upstream and is pinned at another.
func TestPinnedKey(t *testing.T) {
	h := parseHistory(t, testRun(), `
		call 1 0 40 acme find k served
		run 1 5 20 lookup-1 k
		call 2 0 40 acme find k served
		run 2 19 30 lookup-2 k`)
	h.Executions[0].Unit = "lookup/pin:k"
	if f, _ := Compute(h).Find("two owners at the same time"); f.Value != 1 {
		t.Errorf("pairs with two owners: %v, want 1", f.Value)
	}
}

// TestExcessAgainstAllWindows compares excess with an exhaustive search over all
// windows.
func TestExcessAgainstAllWindows(t *testing.T) {
	limit := fleet.Limit{Rate: 10, Burst: 3}
	var in []admission
	x := int64(1)
	for range 60 {
		x = (x*1103515245 + 12345) % (1 << 31)
		start := x % 3000
		in = append(in, admission{(start - x%97) * 1e6, start * 1e6})
	}
	worst := 0.0
	for _, a := range in {
		for _, b := range in {
			if from, to := a.earliest, b.start; from <= to {
				n := 0.0
				for _, c := range in {
					if c.earliest >= from && c.start <= to {
						n++
					}
				}
				worst = max(worst, n-3-10*seconds(to-from))
			}
		}
	}
	got := float64(excess(limit, in))
	if worst <= 1 || got < worst || got >= worst+1 {
		t.Errorf("excess is %v, want %v rounded up, which must be above 1", got, worst)
	}
}
