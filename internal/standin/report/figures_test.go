package report

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFigures checks the values of figures of small histories.
func TestFigures(t *testing.T) {
	lost := []Event{{time.UnixMilli(1000), UpstreamLost, "lookup-1"}}
	for _, c := range []struct {
		name    string
		events  []Event
		history string
		want    map[string]float64
	}{
		{
			name:   "loss of an upstream",
			events: lost,
			// Key a had to move, key b moved unnecessarily. The response to call 3 arrives
			// after the loss but comes from the lost upstream. The only request for key c
			// soon after the loss was rate-limited, so key c is left out.
			history: `
				call 1 400 500 free find a served
				run 1 410 490 lookup-1 a
				call 2 800 900 free find a served
				run 2 810 890 lookup-1 a
				call 3 950 1010 free find a served
				run 3 960 990 lookup-1 a
				call 4 600 700 free find b served
				run 4 610 690 lookup-2 b
				call 5 1100 1200 free find a not-run no-owner
				call 6 1300 1510 free find a served
				run 6 1350 1500 lookup-2 a
				call 8 500 600 free find c served
				run 8 510 590 lookup-1 c
				call 9 600 700 free find c served
				run 9 610 690 lookup-1 c
				call 10 1100 1110 acme find c not-run rate-limited
				call 11 9000 9100 free find c served
				run 11 9010 9090 lookup-2 c
				call 7 1600 1700 free find b served
				run 7 1610 1690 booking-1 b`,
			want: map[string]float64{
				"unavailable after loss of lookup-1 max":                   0.5,
				"unavailable after loss of lookup-1 sampling limit":        0.11,
				"unavailable after loss of lookup-1 last unserved arrival": 0.1,
				"imbalance lookup": 10.0 / 6,
			},
		},
		{
			name: "account above its rate and account without a limit",
			history: `
				call 1 0 10 acme find a served
				run 1 1 9 lookup-1 a
				call 2 1 10 acme find a not-run overloaded
				call 3 2 10 acme find a not-run rate-limited
				call 4 3 10 acme find a not-run rate-limited
				call 5 4 10 free book a served
				run 5 5 9 booking-1 a
				call 6 4 10 free book a unknown timeout
				run 6 5 9 booking-1 a`,
			want: map[string]float64{
				"worst-served account":              0.5,
				"not served inside the rate":        2,
				"refused by limits inside the rate": 0,
				"service figure":                    0.5,
				"unknown outcomes":                  1,
				"outcome not-run rate-limited":      2,
			},
		},
		{
			name: "refused by a limit within the rate",
			history: `
				call 1 0 10 acme find a not-run rate-limited
				call 2 1 11 acme find a served
				run 2 2 10 lookup-1 a`,
			want: map[string]float64{
				"refused by limits inside the rate":                  1,
				"latency idempotent p50":                             10,
				"latency outside the upstream idempotent steady p50": 2,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Compute(parseHistory(t, testRun(c.events...), c.history))
			for name, want := range c.want {
				if f, ok := r.Find(name); !ok || math.Abs(f.Value-want) > 0.01 {
					t.Errorf("%s: %v (found %v), want %v", name, f.Value, ok, want)
				}
			}
		})
	}
}

// TestChurnAfterLoss checks that moves of keys that the lost upstream did not own
// are not counted as necessary.
func TestChurnAfterLoss(t *testing.T) {
	h := parseHistory(t, testRun(Event{time.UnixMilli(1000), UpstreamLost, "lookup-1"}), `
		call 1 0 100 free find a served
		run 1 10 90 lookup-1 a
		call 2 0 100 free find b served
		run 2 10 90 lookup-2 b
		call 3 2000 2100 free find a served
		run 3 2010 2090 lookup-2 a
		call 4 2000 2100 free find b served
		run 4 2010 2090 lookup-3 b`)
	if f, ok := Compute(h).Find("churn after loss of lookup-1"); !ok || f.Value != 2 {
		t.Errorf("churn is %v (found %v), want 2", f.Value, ok)
	}
}

// TestEncode checks that an encoded report can be decoded and compared.
func TestEncode(t *testing.T) {
	r := Compute(parseHistory(t, testRun(Event{time.UnixMilli(50), UpstreamLost, "lookup-1"}), "call 1 0 20 acme find k served\nrun 1 5 15 lookup-1 k"))
	got, err := Decode(r.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(r, got); diff != "" {
		t.Errorf("decoded report differs (-want +got):\n%s", diff)
	}
	for i, f := range got.Figures {
		if f.Name == "worst-served account" {
			got.Figures[i].Value = 0.5
		}
	}
	if n := strings.Count(got.Compare(r), " worse\n"); n != 1 {
		t.Errorf("%d figures are rated worse, want 1:\n%s", n, got.Compare(r))
	}
}

// TestRead checks that the description of a run is read as written, that a run
// without histories is an error, and that an incomplete last line, as a killed
// process leaves it, is ignored.
func TestRead(t *testing.T) {
	dir := t.TempDir()
	run := testRun(Event{time.Unix(0, 1_700_000_000_123_456_789), ZoneOut, "b"})
	if err := run.Write(dir); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(dir, dir); err == nil {
		t.Error("Read accepted a run without histories")
	}
	const call = `{"t0":1,"t1":9,"account":"acme","entry":"find","class":"idempotent","client-id":"1","outcome":"served","whole":true}` + "\n"
	const start = `{"t":2,"upstream":"u","boot":"b","event":"start","request-id":"r","client-id":"1","unit":"lookup/1"}` + "\n"
	for name, text := range map[string]string{"load.jsonl": call + `{"t0":`, "upstream-u.jsonl": start + `{"t"`} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	h, err := Read(dir, dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(run, h.Run); diff != "" {
		t.Errorf("description differs (-want +got):\n%s", diff)
	}
	if len(h.Calls) != 1 || len(h.Executions) != 1 {
		t.Errorf("read %d calls and %d executions, want 1 and 1", len(h.Calls), len(h.Executions))
	}
}
