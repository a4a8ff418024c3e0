package capacity

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Render replaces the tables of the page. A table stands between the comments
// <!-- table NAME --> and <!-- end -->.
func Render(text []byte, run Run) ([]byte, error) {
	m, err := newModel(run.Series)
	if err != nil {
		return nil, err
	}
	for _, t := range []struct {
		name string
		body string
	}{
		{"run", runTable(run)},
		{"verdict", verdictTable(m.lines())},
		{"series", seriesTable(run.Series)},
		{"lines", linesTable(m, m.lines())},
		{"keys", keysTable(m)},
		{"polls", pollsTable(m)},
		{"cells", cellsTable(m)},
		{"splits", splitsTable()},
	} {
		if text, err = replace(text, t.name, t.body); err != nil {
			return nil, err
		}
	}
	return text, nil
}

func replace(text []byte, name, body string) ([]byte, error) {
	const end = "<!-- end -->"
	mark := []byte("<!-- table " + name + " -->\n")
	before, rest, ok := bytes.Cut(text, mark)
	if !ok {
		return nil, errors.Errorf("table %s is missing", name)
	}
	i := bytes.Index(rest, []byte(end))
	if i < 0 {
		return nil, errors.Errorf("table %s has no end", name)
	}
	return bytes.Join([][]byte{before, mark, []byte(body), rest[i:]}, nil), nil
}

// table writes rows of cells; the first row is the head.
func table(rows ...[]string) string {
	var b strings.Builder
	for i, row := range rows {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
		if i == 0 {
			b.WriteString(strings.Repeat("|---", len(row)) + "|\n")
		}
	}
	return b.String()
}

func runTable(r Run) string {
	return table(
		[]string{"date", "cores", "cores used", "Go", "other load"},
		[]string{r.Date, strconv.Itoa(r.Cores), strconv.Itoa(r.Used), r.Go, r.Load},
	)
}

func verdictTable(lines []Line) string {
	rows := [][]string{{"role", "lines", "carried", "not carried"}}
	for first := 0; first < len(lines); {
		last, carried := first, 0
		for ; last < len(lines) && lines[last].Role == lines[first].Role; last++ {
			if lines[last].Carried() {
				carried++
			}
		}
		rows = append(rows, []string{lines[first].Role, strconv.Itoa(last - first), strconv.Itoa(carried), strconv.Itoa(last - first - carried)})
		first = last
	}
	return table(rows...)
}

func seriesTable(series []Series) string {
	rows := [][]string{{"id", "quantity", "size counts", "points (size: value)", "slope", "intercept", "R²"}}
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, human(p.X, "")+": "+human(p.Y, s.Unit))
		}
		rows = append(rows, []string{
			"`" + s.ID + "`", s.What, s.X, strings.Join(points, "; "),
			human(s.Fit.Slope, s.Unit), human(s.Fit.Intercept, s.Unit), fmt.Sprintf("%.3f", s.Fit.R2),
		})
	}
	return table(rows...)
}

func linesTable(m model, lines []Line) string {
	rows := [][]string{{"role", "kind", "figure", "at scale", "bound", "carried", "by, or what would carry it", "series, extrapolated by"}}
	for _, l := range lines {
		verdict, how := "**no**", l.Instead
		if l.Carried() {
			verdict, how = "yes", l.By
		}
		if how == "" {
			how = "–"
		}
		rows = append(rows, []string{l.Role, l.Kind, l.Figure, human(l.Value, l.Unit), human(l.Bound, l.Unit), verdict, how, source(m, l)})
	}
	return table(rows...)
}

func source(m model, l Line) string {
	if l.Source == "" {
		return "arithmetic"
	}
	f := m.factor(l.Source, l.At)
	if f <= 1 {
		return "`" + l.Source + "`, within the range"
	}
	return "`" + l.Source + "`, × " + human(f, "")
}

// keysTable computes both readings of "4.5 billion keys in use".
func keysTable(m model) string {
	bucket := 700e3 / m.slope("catalogue-bytes")
	perNode := 2 * keys / nodes
	return table(
		[]string{"reading", "figure", "value", "carried"},
		[]string{"caller keys", "one catalogue record", human(m.at("catalogue-bytes", keys), "B"), "**no**: 1 MB"},
		[]string{"caller keys", "index on every node", human(m.at("index-heap", keys), "B"), "**no**: 256 MB"},
		[]string{"caller keys", "time to build it", human(m.at("index-build", keys), "ns"), "**no**: 4 s"},
		[]string{"caller keys", "proposal: buckets of 700 kB, one store value each, " + human(bucket, "") + " keys in each", human(keys/bucket, "") + " values", "open: the store's total size is not stated"},
		[]string{"caller keys", "proposal: each bucket kept by two nodes, index per node", human(m.slope("index-heap")*perNode, "B"), fits(m.slope("index-heap")*perNode, memoryBound)},
		[]string{"caller keys", "proposal: first load of all buckets at 2,000 reads/s", human(keys/bucket/readsBound*1e9, "ns"), "open: the nodes serve what they hold meanwhile"},
		[]string{"caller keys", "proposal: share of requests that may miss every node and read the store", human(100*readsBound/requests, "") + " %", "open: depends on the callers"},
		[]string{"routing keys", "keys per shard with 379,500 shards", human(keys/units, ""), "yes: state grows with shards, not with keys"},
		[]string{"routing keys", "assignment record", human(m.recordBytes(nodes, units), "B"), "**no**: 1 MB; with cells yes"},
		[]string{"routing keys", "for comparison: every key a unit of its own, record", human(m.at("assignment-bytes", keys), "B"), "**no**; not proposed"},
		[]string{"routing keys", "for comparison: every key a unit, memory of an instance", human(m.at("assignment-heap", keys), "B"), "**no**; not proposed"},
	)
}

func fits(value, bound float64) string {
	if value <= bound {
		return "yes"
	}
	return "**no**"
}

// pollsTable shows all-to-all polls at several sizes of the member list.
func pollsTable(m model) string {
	rows := [][]string{{"members", "polls sent and answered", "traffic of one member", "processor of one member", "connections of one member", "traffic", "processor"}}
	for _, n := range []float64{5, 12, 24, 48, 200, 1000, nodes} {
		rows = append(rows, []string{
			human(n, ""), human(2*(n-1)/pollEvery.Seconds(), "1/s"), human(m.pollBytes(n), "B/s"), human(m.pollCPU(n), "core"),
			human(m.at("poll-heap", n), "B"), fits(m.pollBytes(n), bytesBound), fits(m.pollCPU(n), cpuBound),
		})
	}
	return table(rows...) + fmt.Sprintf("\nLargest member list within the bounds: %d by traffic, %d by processor, %d by reads of the store.\n",
		largestCell(m.pollBytes, bytesBound), largestCell(m.pollCPU, cpuBound),
		largestCell(func(n float64) float64 { return m.at("store-reads", n) }, readsBound))
}

func cellsTable(m model) string {
	sizes := []float64{12, 24, 48}
	head := []string{"figure", "bound"}
	var cells []Cell
	for _, n := range sizes {
		head = append(head, "cells of "+human(n, ""))
		cells = append(cells, m.cell(n))
	}
	rows := [][]string{head}
	row := func(figure, unit string, bound float64, value func(Cell) float64) {
		r := []string{figure, "–"}
		if bound > 0 {
			r[1] = human(bound, unit)
		}
		for _, c := range cells {
			v := human(value(c), unit)
			if bound > 0 && value(c) > bound {
				v += " **no**"
			}
			r = append(r, v)
		}
		rows = append(rows, r)
	}
	row("cells", "", 0, func(c Cell) float64 { return c.Cells })
	row("units per cell", "", 0, func(c Cell) float64 { return c.Units })
	row("assignment record", "B", valueBound, func(c Cell) float64 { return c.Record })
	row("plan, encode, decode", "ns", planBound, func(c Cell) float64 { return c.Plan })
	row("records to a member", "B/s", bytesBound, func(c Cell) float64 { return c.AssignmentBytes })
	row("polls as today, traffic", "B/s", bytesBound, func(c Cell) float64 { return c.PollBytes })
	row("polls as today, processor", "core", cpuBound, func(c Cell) float64 { return c.PollCPU })
	row("compact polls of 5 voters every 300 ms, a voter (estimate)", "B/s", bytesBound, func(c Cell) float64 { return c.VoterBytes })
	row("the same, another member (estimate)", "B/s", bytesBound, func(c Cell) float64 { return c.MemberBytes })
	row("the same, a voter's processor at the cost of a token call", "core", cpuBound, func(c Cell) float64 { return c.VoterCPU })
	row("store reads, one watch per cell and second", "1/s", readsBound, func(c Cell) float64 { return c.Reads })
	row("writes after the loss of a zone, in the first second", "", writesBound, func(c Cell) float64 { return c.ZoneWrites })
	row("choice of homes at today's pace", "core", cpuBound, func(c Cell) float64 { return c.HomeCPU })
	row("rejected: batched token calls of a home, every cell of the region asking (estimate)", "B/s", bytesBound, func(c Cell) float64 { return c.TokenBytes })
	return table(rows...)
}

func splitsTable() string {
	rows := [][]string{{"regions apart as", "today, with one member list: authority", "requests served"}}
	for _, s := range splits() {
		rows = append(rows, []string{s.Groups, s.Serving, human(100*s.Share(), "") + " %"})
	}
	return table(rows...)
}

// human writes a value with three digits and a prefix that suits the unit. The
// unit core takes nanoseconds of processor time per second.
func human(v float64, unit string) string {
	switch unit {
	case "ns":
		return scaled(v, []string{" ns", " µs", " ms", " s"})
	case "core":
		return digits(v/1e7) + " %"
	case "B", "B/s":
		s := scaled(v, []string{" B", " kB", " MB", " GB", " TB"})
		return s + strings.TrimPrefix(unit, "B")
	case "s":
		return digits(v) + " s"
	case "1/s":
		return digits(v) + "/s"
	default:
		return digits(v)
	}
}

func scaled(v float64, names []string) string {
	i := 0
	for math.Abs(v) >= 999.5 && i < len(names)-1 {
		v /= 1000
		i++
	}
	return digits(v) + names[i]
}

func digits(v float64) string {
	switch a := math.Abs(v); {
	case a == 0:
		return "0"
	case a < 1e-3:
		return "≈ 0"
	case a >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	default:
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
}
