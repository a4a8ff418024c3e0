package routecheck

import (
	"fmt"
	"strings"

	"github.com/go-faster/jx"
)

// Severity is the weight of a finding.
type Severity string

// The severities. Errors and warnings are problems.
const (
	Error       Severity = "error"       // instances ignore it, or requests are refused or never matched
	Warning     Severity = "warning"     // it probably does not say what is meant
	Information Severity = "information" // a consequence that may not be expected
	Difference  Severity = "difference"  // from the configuration in force
)

// Rule is the name of a check or of a kind of difference, an interface to scripts.
type Rule string

// Finding is a result of a check. Messages contain no caller keys.
type Finding struct {
	Severity Severity
	Rule     Rule
	Path     Path   // in the checked file; of what was removed, in the one in force
	Subject  string // the entry by its kind and name
	Message  string
}

// Report is the result of the checks of a configuration.
type Report struct {
	Version  string
	Findings []Finding
}

// Problems returns the number of errors and warnings.
func (r *Report) Problems() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == Error || f.Severity == Warning {
			n++
		}
	}
	return n
}

// Text returns the report with one line for each finding.
func (r *Report) Text() string {
	var b strings.Builder
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(&b, "%s: %s: %s: %s (%s)\n", f.Severity, f.Path, f.Subject, f.Message, f.Rule)
	}
	_, _ = fmt.Fprintf(&b, "version %q: problems: %d\n", r.Version, r.Problems())
	return b.String()
}

// Encode writes the report as JSON.
func (r *Report) Encode(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.Str(r.Version) })
		e.Field("problems", func(e *jx.Encoder) { e.Int(r.Problems()) })
		e.Field("findings", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, f := range r.Findings {
					e.Obj(f.encode)
				}
			})
		})
	})
}

func (f Finding) encode(e *jx.Encoder) {
	for _, field := range [][2]string{
		{"severity", string(f.Severity)}, {"rule", string(f.Rule)}, {"path", string(f.Path)}, {"subject", f.Subject}, {"message", f.Message},
	} {
		e.Field(field[0], func(e *jx.Encoder) { e.Str(field[1]) })
	}
}
