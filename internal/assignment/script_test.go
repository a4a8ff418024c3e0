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

var updateScripts = flag.Bool("update", false, "write the planner's output into the scripts in testdata")

// TestScripts compares the planner's moves and their causes with the scripts in
// testdata. Each line of a script is a command. The commands "plan", "settle" and
// "owners" print the lines that start with ">".
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
			fx := newFixture()
			var got strings.Builder
			for n, line := range strings.Split(strings.TrimSuffix(string(want), "\n"), "\n") {
				if strings.HasPrefix(line, ">") {
					continue
				}
				fmt.Fprintln(&got, line)
				out, err := fx.runCommand(strings.Fields(line))
				if err != nil {
					t.Fatalf("%s:%d: %s: %v", file, n+1, line, err)
				}
				got.WriteString(out)
			}
			if *updateScripts {
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

func (fx *fixture) runCommand(args []string) (string, error) {
	if len(args) == 0 || args[0] == "#" {
		return "", nil
	}
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	num := func(i int) int { n, _ := strconv.Atoi(arg(i)); return n }
	up, inst := fleet.UpstreamID(arg(1)), fleet.InstanceID(arg(1))
	report := fx.reports[up]
	switch args[0] {
	case "service":
		fx.addService(arg(1), num(2), fleet.Slots(num(3)), fleet.Slots(num(4)))
	case "no-service":
		fx.catalogue.Services = nil
	case "list":
		fx.listUpstream(arg(1), arg(2), arg(3), platform.State(arg(4)))
	case "unlist":
		delete(fx.listed, arg(1))
	case "address":
		l := fx.listed[arg(1)]
		l.Address = arg(2)
		fx.listed[arg(1)] = l
	case "join":
		fx.joinInstance(arg(1), arg(2), arg(3))
	case "lost-instance":
		fx.lost[inst] = true
	case "leave":
		fx.leaving[inst] = true
	case "out", "back":
		fx.setOutOfService(catalogue.OutageKind(arg(1)), arg(2), args[0] == "out")
	case "limit":
		fx.setSlotLimit(up, fleet.Slots(num(2)))
	case "load":
		report.Load = float64(num(2))
		fx.reports[up] = report
	case "average":
		report.Average = float64(num(2))
		fx.reports[up] = report
	case "busy": // rate of the n-th shard that the upstream owns
		owned := fx.shardsOf(up)
		report.Units = append(report.Units, UnitLoad{owned[num(2)], float64(num(3))})
		fx.reports[up] = report
	case "hot":
		report.Hot = append(report.Hot, HotKey{fleet.RoutingKey(arg(2)), float64(num(3))})
		fx.reports[up] = report
	case "cold":
		report.Hot = nil
		fx.reports[up] = report
	case "lost", "found":
		report.Lost = args[0] == "lost"
		fx.reports[up] = report
	case "learned":
		fx.learned = arg(1) == "yes"
	case "granted":
		fx.grantsReported = arg(1) == "yes"
	case "after":
		fx.now = fx.now.Add(time.Duration(num(1)) * time.Second)
	case "plan":
		moves, changed, err := fx.plan()
		return moveSummary(moves, changed), err
	case "settle":
		err := fx.settle()
		return fx.ownerSummary(), err
	case "owners":
		return fx.ownerSummary(), nil
	default:
		return "", fmt.Errorf("unknown command")
	}
	return "", nil
}

// shardsOf returns the shards of an upstream in ascending order.
func (fx *fixture) shardsOf(up fleet.UpstreamID) (out []fleet.Unit) {
	for _, o := range fx.current.Units {
		if o.Owner == up && o.Unit.Pin == "" {
			out = append(out, o.Unit)
		}
	}
	return out
}

// moveSummary formats moves in order, one line each. Moves of several shards with
// the same cause between the same upstreams share a line that gives their number.
func moveSummary(moves []Move, changed bool) string {
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

func (fx *fixture) ownerSummary() string {
	units := map[fleet.UpstreamID]int{}
	pending := 0
	for _, u := range fx.current.Upstreams {
		units[u.ID] = 0
	}
	for _, o := range fx.current.Units {
		units[o.Owner]++
		if len(o.Previous) > 0 {
			pending++
		}
	}
	line := ">"
	for _, id := range sortedKeys(units) {
		line += fmt.Sprintf(" %s=%d", id, units[id])
	}
	return fmt.Sprintf("%s pending=%d\n", line, pending)
}
