package direct

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// readSources returns the concatenated Go sources of the packages in dirs, without
// tests.
func readSources(t *testing.T, dirs ...string) string {
	t.Helper()
	var all strings.Builder
	for _, dir := range dirs {
		names, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			all.Write(data)
		}
	}
	return all.String()
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// firstGroups returns the set of the first submatches of all matches of patterns in
// text.
func firstGroups(text string, patterns ...string) map[string]bool {
	out := make(map[string]bool)
	for _, p := range patterns {
		for _, m := range regexp.MustCompile(p).FindAllStringSubmatch(text, -1) {
			out[m[1]] = true
		}
	}
	return out
}

// Guards against operator documentation that lacks a reason, log message or metric of
// the code, or describes one that the code does not have.
func TestPagesForOperators(t *testing.T) {
	code := readSources(t, ".", "../balance")
	operations := readPage(t, "OPERATIONS.md")
	_, operations, ok := strings.Cut(operations, "## On the users' platform")
	if !ok {
		t.Fatal("docs/OPERATIONS.md has no section \"On the users' platform\"")
	}
	section := func(title string) string {
		_, rest, ok := strings.Cut(operations, "### "+title)
		if !ok {
			t.Fatalf("docs/OPERATIONS.md has no section %q", title)
		}
		rest, _, _ = strings.Cut(rest, "\n### ")
		return rest
	}
	compare := func(what string, inCode, onPage map[string]bool) {
		for name := range inCode {
			if !onPage[name] {
				t.Errorf("%s %q in the code is missing on the page", what, name)
			}
		}
		for name := range onPage {
			if !inCode[name] {
				t.Errorf("%s %q on the page is missing in the code", what, name)
			}
		}
	}
	compare("reason",
		firstGroups(code, `refuse\([^"\n]*"([a-z-]+)"`, `return nil, "([a-z-]+)"`, `reason = "([a-z-]+)"`, `reason[A-Z]\w* = "([a-z-]+)"`, `0\.0, "([a-z-]+)"`, `changed, "([a-z-]+)"`),
		firstGroups(section("Reasons of answers"), "`([a-z-]+)`[^|\n]*\\| [0-9]{3} \\|", "\n\\| `([a-z-]+)`", ", `([a-z-]+)`"))
	compare("log message",
		firstGroups(code, `log\.(?:Info|Warn|Error)\("([^"]+)"`),
		firstGroups(section("Logs"), "\n\\| `([a-z ]+)`", ", `([a-z ]+)`"))
	compare("metric", firstGroups(code, `Name: "(parsleyproxy_direct_[a-z_]+)"`), firstGroups(readPage(t, "metrics.md"), "`(parsleyproxy_direct_[a-z_]+)`"))
}
