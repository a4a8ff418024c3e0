package assignment

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var update = flag.Bool("update", false, "write the moves seen into the scripts")

// TestScripts guards against a planner that moves something else, or for another
// reason, than the scripts in testdata say. A line is an event; "plan", "settle"
// and "owners" print lines that start with ">" and are compared.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			w := newWorld()
			var got strings.Builder
			for n, line := range strings.Split(strings.TrimSuffix(string(want), "\n"), "\n") {
				if strings.HasPrefix(line, ">") {
					continue
				}
				fmt.Fprintln(&got, line)
				out, err := w.event(strings.Fields(line))
				if err != nil {
					t.Fatalf("%s:%d: %s: %v", file, n+1, line, err)
				}
				got.WriteString(out)
			}
			if *update {
				if err := os.WriteFile(file, []byte(got.String()), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(want), got.String()); diff != "" {
				t.Errorf("moves (-want +got):\n%s", diff)
			}
		})
	}
}

func (w *world) event(f []string) (string, error) {
	if len(f) == 0 || f[0] == "#" {
		return "", nil
	}
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	num := func(i int) int { n, _ := strconv.Atoi(arg(i)); return n }
	up, inst := fleet.UpstreamID(arg(1)), fleet.InstanceID(arg(1))
	report := w.reports[up]
	switch f[0] {
	case "service":
		w.service(arg(1), num(2), fleet.Slots(num(3)), fleet.Slots(num(4)))
	case "no-service":
		w.cat.Services = nil
	case "list":
		w.list(arg(1), arg(2), arg(3), platform.State(arg(4)))
	case "unlist":
		delete(w.listed, arg(1))
	case "address":
		l := w.listed[arg(1)]
		l.Address = arg(2)
		w.listed[arg(1)] = l
	case "join":
		w.join(arg(1), arg(2), arg(3))
	case "lost-instance":
		w.lost[inst] = true
	case "leave":
		w.leaving[inst] = true
	case "out", "back":
		w.out(catalogue.OutageKind(arg(1)), arg(2), f[0] == "out")
	case "limit":
		w.warm(up, fleet.Slots(num(2)))
	case "load":
		report.Load = float64(num(2))
		w.reports[up] = report
	case "average":
		report.Average = float64(num(2))
		w.reports[up] = report
	case "busy": // the n-th shard that the upstream owns
		owned := w.shardsOf(up)
		report.Units = append(report.Units, UnitLoad{owned[num(2)], float64(num(3))})
		w.reports[up] = report
	case "hot":
		report.Hot = append(report.Hot, HotKey{fleet.RoutingKey(arg(2)), float64(num(3))})
		w.reports[up] = report
	case "cold":
		report.Hot = nil
		w.reports[up] = report
	case "lost", "found":
		report.Lost = f[0] == "lost"
		w.reports[up] = report
	case "learned":
		w.learned = arg(1) == "yes"
	case "granted":
		w.granted = arg(1) == "yes"
	case "after":
		w.now = w.now.Add(time.Duration(num(1)) * time.Second)
	case "plan":
		moves, changed, err := w.plan()
		return summary(moves, changed), err
	case "settle":
		err := w.settle()
		return w.owners(), err
	case "owners":
		return w.owners(), nil
	default:
		return "", fmt.Errorf("unknown event")
	}
	return "", nil
}

// summary prints moves in order; those of several shards for one reason between
// the same upstreams are counted.
// shardsOf returns the shards of an upstream in order.
func (w *world) shardsOf(up fleet.UpstreamID) (out []fleet.Unit) {
	for _, o := range w.current.Units {
		if o.Owner == up && o.Unit.Pin == "" {
			out = append(out, o.Unit)
		}
	}
	return out
}

func summary(moves []Move, changed bool) string {
	if !changed {
		return "> unchanged\n"
	}
	var lines []string
	count := map[string]int{}
	for _, m := range moves {
		line := "> " + string(m.Cause)
		switch {
		case m.Unit.Pin != "":
			line += fmt.Sprintf(" %s %s->%s", m.Unit.Pin, m.From, m.To)
		case m.Unit.Service != "":
			line += fmt.Sprintf(" %s %s->%s", m.Unit.Service, m.From, m.To)
		case m.From != "":
			line += " " + string(m.To) + " " + m.Detail
		default:
			line += " " + m.Detail
		}
		if count[line]++; count[line] == 1 {
			lines = append(lines, line)
		}
	}
	var b strings.Builder
	for _, line := range lines {
		fmt.Fprintf(&b, "%s x%d\n", line, count[line])
	}
	if len(lines) == 0 {
		b.WriteString("> changed\n")
	}
	return b.String()
}

func (w *world) owners() string {
	count := map[fleet.UpstreamID]int{}
	pending := 0
	for _, u := range w.current.Upstreams {
		count[u.ID] = 0
	}
	for _, o := range w.current.Units {
		count[o.Owner]++
		if len(o.Previous) > 0 {
			pending++
		}
	}
	line := ">"
	for _, id := range sortedKeys(count) {
		line += fmt.Sprintf(" %s=%d", id, count[id])
	}
	return fmt.Sprintf("%s pending=%d\n", line, pending)
}
