package capacity

import (
	"math"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a committed page whose tables differ from those computed from the
// committed results.
func TestPageMatchesResults(t *testing.T) {
	data, err := os.ReadFile("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	run, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := Render(page, run)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(page)); diff != "" {
		t.Errorf("the page differs from the results; run \"capacity page\":\n%s", diff)
	}
	if diff := cmp.Diff(string(data), string(run.Encode())); diff != "" {
		t.Errorf("the results change when decoded and encoded again:\n%s", diff)
	}
}

// Guards against wrong arithmetic. The expected values were computed by hand for a
// small fleet.
func TestArithmetic(t *testing.T) {
	linearSeries := func(id string, slope, intercept float64) Series {
		var points []Point
		for _, x := range []float64{2, 10, 40} {
			points = append(points, Point{X: x, Y: intercept + slope*x})
		}
		return Series{ID: id, Points: points, Fit: fitLine(points)}
	}
	m := model{series: map[string]Series{}}
	for _, s := range []Series{
		linearSeries("poll-bytes", 10, 44), linearSeries("poll-cpu", 0, 1e6), linearSeries("assignment-bytes", 2, 100), linearSeries("members-bytes", 50, 7),
	} {
		m.series[s.ID] = s
	}
	for name, c := range map[string]struct{ got, want float64 }{
		// 3 peers × 2 × 5 per s × (10×4 + 44 + 156 headers)
		"poll traffic of 4 members":           {m.pollBytes(4), 6 / 0.2 * 240},
		"poll processor time of 4 members":    {m.pollCPU(4), 3 / 0.2 * 1e6},
		"record of 4 members and 30 units":    {m.recordBytes(4, 30), 100 + 60 + 200},
		"largest cell under 7,200 B/s":        {float64(largestCell(m.pollBytes, 7200)), 4},
		"upper bound below the smallest size": {m.at("poll-bytes", 1), 64},
		"fit above the largest size":          {m.at("poll-bytes", 100), 1044},
		"factor beyond 40 at 100":             {m.extrapolationFactor("poll-bytes", 100), 2.5},
		"requests served in a split of 3 + 1": {Partition{AuthorityGroups: []int{3, 1}}.ServedShare(), 0.625},
		"fit of a straight line":              {m.series["poll-bytes"].Fit.R2, 1},
	} {
		if math.Abs(c.got-c.want) > 1e-6*c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}
