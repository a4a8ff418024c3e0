package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against changes of the output that scripts read, against caller keys in it, and
// against wrong exit codes.
func TestCheckOutput(t *testing.T) {
	for args, want := range map[string]struct {
		code   int
		golden string
	}{
		"testdata/faults.json --memory 144 --in-force testdata/in-force.json": {codeFailed, "testdata/faults.txt"},
		"testdata/changes.json --json --in-force testdata/in-force.json":      {codeOK, "testdata/changes.golden.json"},
	} {
		golden, err := os.ReadFile(want.golden)
		if err != nil {
			t.Fatal(err)
		}
		got := runAndCheck(t, want.code, "check "+args)
		if diff := cmp.Diff(string(golden), got.out); diff != "" {
			t.Errorf("%s: %s", args, diff)
		}
		if strings.Contains(got.out+got.err, "secret") {
			t.Errorf("check %s prints a caller key", args)
		}
	}
}

// Guards against unreadable files and wrong usage that look like a checked configuration.
func TestCheckUsage(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"version":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, part := range map[string]string{
		"":                                  "FILE is required",
		"a b":                               "unexpected argument",
		"/nonexistent":                      "no such file",
		broken:                              "want a JSON object",
		"testdata/in-force.json --bogus":    "flag provided but not defined",
		"testdata/in-force.json --memory":   "flag needs an argument",
		"testdata/in-force.json --memory 0": "--memory: want 1 MiB or more",
		"testdata/in-force.json --memory 9007199254740993000":    "--memory: want 1 MiB or more",
		"testdata/in-force.json --in-force " + broken:            "want a JSON object",
		"testdata/in-force.json --in-force testdata/faults.json": "services[4]",
	} {
		if got := runAndCheck(t, codeBadInput, "check "+args, part); got.out != "" {
			t.Errorf("check %s prints %q", args, got.out)
		}
	}
}

// Guards against checks that docs/design/configuration-check.md does not list.
func TestCheckPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/configuration-check.md")
	if err != nil {
		t.Fatal(err)
	}
	rules := 0
	for _, name := range []string{"check.go", "diff.go"} {
		code, err := os.ReadFile("../../internal/routes/routecheck/" + name)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?:Error|Warning|Information|Difference), "([a-z-]+)"`).FindAllStringSubmatch(string(code), -1) {
			rules++
			if !strings.Contains(string(page), "| `"+m[1]+"` | ") {
				t.Errorf("docs/design/configuration-check.md does not list %s", m[1])
			}
		}
	}
	if rules == 0 {
		t.Error("no rules were found in the code")
	}
}
