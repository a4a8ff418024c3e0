package capacity

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Render returns text, a Markdown page, with its tables replaced by those computed from
// run. Each table is between the comments <!-- table NAME --> and <!-- end -->.
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
		{"verdict", verdictTable(m.estimates())},
		{"series", seriesTable(run.Series)},
		{"lines", estimatesTable(m, m.estimates())},
		{"keys", keysTable(m)},
		{"polls", pollsTable(m)},
		{"cells", cellsTable(m)},
		{"splits", partitionsTable()},
	} {
		if text, err = replaceTable(text, t.name, t.body); err != nil {
			return nil, err
		}
	}
	return text, nil
}

// replaceTable returns text with the named table replaced by body.
func replaceTable(text []byte, name, body string) ([]byte, error) {
	const end = "<!-- end -->"
	mark := []byte("<!-- table " + name + " -->\n")
	before, rest, ok := bytes.Cut(text, mark)
	if !ok {
		return nil, errors.Errorf("the page has no table %s", name)
	}
	i := bytes.Index(rest, []byte(end))
	if i < 0 {
		return nil, errors.Errorf("table %s has no end comment", name)
	}
	return bytes.Join([][]byte{before, mark, []byte(body), rest[i:]}, nil), nil
}

// markdownTable formats rows of cells as a Markdown table. The first row is the header.
func markdownTable(rows ...[]string) string {
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
	return markdownTable(
		[]string{"date", "cores", "cores used", "Go", "other load"},
		[]string{r.Date, strconv.Itoa(r.Cores), strconv.Itoa(r.GoMaxProcs), r.GoVersion, r.MachineLoad},
	)
}

// verdictTable counts, for each role, the estimates within and beyond their bounds.
func verdictTable(lines []Estimate) string {
	rows := [][]string{{"role", "lines", "carried", "not carried"}}
	for first := 0; first < len(lines); {
		last, carried := first, 0
		for ; last < len(lines) && lines[last].Role == lines[first].Role; last++ {
			if lines[last].WithinBound() {
				carried++
			}
		}
		rows = append(rows, []string{lines[first].Role, strconv.Itoa(last - first), strconv.Itoa(carried), strconv.Itoa(last - first - carried)})
		first = last
	}
	return markdownTable(rows...)
}

func seriesTable(series []Series) string {
	rows := [][]string{{"id", "quantity", "size counts", "points (size: value)", "slope", "intercept", "R²"}}
	for _, s := range series {
		var points []string
		for _, p := range s.Points {
			points = append(points, formatValue(p.X, "")+": "+formatValue(p.Y, s.Unit))
		}
		rows = append(rows, []string{
			"`" + s.ID + "`", s.Quantity, s.SizeLabel, strings.Join(points, "; "),
			formatValue(s.Fit.Slope, s.Unit), formatValue(s.Fit.Intercept, s.Unit), fmt.Sprintf("%.3f", s.Fit.R2),
		})
	}
	return markdownTable(rows...)
}

func estimatesTable(m model, lines []Estimate) string {
	rows := [][]string{{"role", "kind", "figure", "at scale", "bound", "carried", "by, or what would carry it", "series, extrapolated by"}}
	for _, l := range lines {
		verdict, how := "**no**", l.Alternative
		if l.WithinBound() {
			verdict, how = "yes", l.Mechanism
		}
		if how == "" {
			how = "–"
		}
		rows = append(rows, []string{l.Role, l.Kind, l.Quantity, formatValue(l.Value, l.Unit), formatValue(l.Bound, l.Unit), verdict, how, formatSource(m, l)})
	}
	return markdownTable(rows...) + fmt.Sprintf("\nA core makes %s dispatch decisions per second, and %s admissions with routing and look-up of the owner.\n",
		formatThousands(1e9/m.at("dispatch-request", upstreamsPerNode)), formatThousands(1e9/m.admitCPU()))
}

// formatThousands rounds v to thousands.
func formatThousands(v float64) string { return strconv.Itoa(int(math.Round(v/1000))) + ",000" }

// formatSource says how an estimate was obtained: computed, or from a series, with the
// extrapolation factor if the size is beyond the measured range.
func formatSource(m model, l Estimate) string {
	if l.SeriesID == "" {
		return "computed"
	}
	f := m.extrapolationFactor(l.SeriesID, l.Size)
	if f <= 1 {
		return "`" + l.SeriesID + "`, within the range"
	}
	return "`" + l.SeriesID + "`, × " + formatValue(f, "")
}

// keysTable estimates the costs for both meanings that "4.5 billion keys in use" can
// have: caller keys or routing keys.
func keysTable(m model) string {
	bucket := 700e3 / m.slope("catalogue-bytes")
	perNode := 2 * keysInUse / nodes
	return markdownTable(
		[]string{"reading", "figure", "value", "carried"},
		[]string{"caller keys", "one catalogue record", formatValue(m.at("catalogue-bytes", keysInUse), "B"), "**no**: 1 MB"},
		[]string{"caller keys", "index on every node", formatValue(m.at("index-heap", keysInUse), "B"), "**no**: 256 MB"},
		[]string{"caller keys", "time to build it", formatValue(m.at("index-build", keysInUse), "ns"), "**no**: 4 s"},
		[]string{"caller keys", "proposal: buckets of 700 kB, one store value each, " + formatValue(bucket, "") + " keys in each", formatValue(keysInUse/bucket, "") + " values", "open: the store's total size is not stated"},
		[]string{"caller keys", "proposal: each bucket kept by two nodes, index per node", formatValue(m.slope("index-heap")*perNode, "B"), boundVerdict(m.slope("index-heap")*perNode, memoryBound)},
		[]string{"caller keys", "proposal: first load of all buckets at 2,000 reads/s", formatValue(keysInUse/bucket/readsBound*1e9, "ns"), "open: the nodes serve what they hold meanwhile"},
		[]string{"caller keys", "proposal: share of requests that may miss every node and read the store", formatValue(100*readsBound/totalRequestRate, "") + " %", "open: depends on the callers"},
		[]string{"routing keys", "keys per shard with 379,500 shards", formatValue(keysInUse/units, ""), "yes: state grows with shards, not with keys"},
		[]string{"routing keys", "assignment record", formatValue(m.recordBytes(nodes, units), "B"), "**no**: 1 MB; with cells yes"},
		[]string{"routing keys", "for comparison: every key a unit of its own, record", formatValue(m.at("assignment-bytes", keysInUse), "B"), "**no**; not proposed"},
		[]string{"routing keys", "for comparison: every key a unit, memory of an instance", formatValue(m.at("assignment-heap", keysInUse), "B"), "**no**; not proposed"},
	)
}

// boundVerdict returns the text of the page for a value with an upper bound.
func boundVerdict(value, bound float64) string {
	if value <= bound {
		return "yes"
	}
	return "**no**"
}

// pollsTable shows the costs of all-to-all polls for several sizes of the member list.
func pollsTable(m model) string {
	rows := [][]string{{"members", "polls sent and answered", "traffic of one member", "processor of one member", "connections of one member", "traffic", "processor"}}
	for _, n := range []float64{5, 12, 24, 48, 200, 1000, nodes} {
		rows = append(rows, []string{
			formatValue(n, ""), formatValue(2*(n-1)/pollInterval.Seconds(), "1/s"), formatValue(m.pollBytes(n), "B/s"), formatValue(m.pollCPU(n), "core"),
			formatValue(m.at("poll-heap", n), "B"), boundVerdict(m.pollBytes(n), bytesBound), boundVerdict(m.pollCPU(n), cpuBound),
		})
	}
	return markdownTable(rows...) + fmt.Sprintf("\nLargest member list within the bounds: %d by traffic, %d by processor, %d by reads of the store.\n",
		largestCell(m.pollBytes, bytesBound), largestCell(m.pollCPU, cpuBound),
		largestCell(func(n float64) float64 { return m.at("store-reads", n) }, readsBound))
}

func cellsTable(m model) string {
	sizes := []float64{12, 24, 48}
	head := []string{"figure", "bound"}
	var cells []Cell
	for _, n := range sizes {
		head = append(head, "cells of "+formatValue(n, ""))
		cells = append(cells, m.cellCost(n))
	}
	rows := [][]string{head}
	row := func(figure, unit string, bound float64, value func(Cell) float64) {
		r := []string{figure, "–"}
		if bound > 0 {
			r[1] = formatValue(bound, unit)
		}
		for _, c := range cells {
			v := formatValue(value(c), unit)
			if bound > 0 && value(c) > bound {
				v += " **no**"
			}
			r = append(r, v)
		}
		rows = append(rows, r)
	}
	row("cells", "", 0, func(c Cell) float64 { return c.Cells })
	row("units per cell", "", 0, func(c Cell) float64 { return c.Units })
	row("assignment record", "B", storeValueBound, func(c Cell) float64 { return c.Record })
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
	return markdownTable(rows...)
}

func partitionsTable() string {
	rows := [][]string{{"regions apart as", "today, with one member list: authority", "requests served"}}
	for _, s := range partitions() {
		rows = append(rows, []string{s.Groups, s.Authority, formatValue(100*s.ServedShare(), "") + " %"})
	}
	return markdownTable(rows...)
}

// formatValue formats a value with three significant digits and a unit prefix that
// suits it. For the unit "core", v is in nanoseconds of processor time per second and is
// written as a percentage of one core.
func formatValue(v float64, unit string) string {
	switch unit {
	case "ns":
		return formatScaled(v, []string{" ns", " µs", " ms", " s"})
	case "core":
		return formatDigits(v/1e7) + " %"
	case "B", "B/s":
		s := formatScaled(v, []string{" B", " kB", " MB", " GB", " TB"})
		return s + strings.TrimPrefix(unit, "B")
	case "s":
		return formatDigits(v) + " s"
	case "1/s":
		return formatDigits(v) + "/s"
	default:
		return formatDigits(v)
	}
}

// formatScaled divides v by 1000 until it has at most three integer digits, and appends
// the unit name for the number of divisions.
func formatScaled(v float64, names []string) string {
	i := 0
	for math.Abs(v) >= 999.5 && i < len(names)-1 {
		v /= 1000
		i++
	}
	return formatDigits(v) + names[i]
}

// formatDigits formats v with three significant digits, or as an integer from 100 on.
func formatDigits(v float64) string {
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
