package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against flags, defaults, refusal reasons, alarms and exit codes that are
// missing from docs/OPERATIONS.md, and against an invalid example catalogue there.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	want := func(text string) {
		if !strings.Contains(page, text) {
			t.Errorf("docs/OPERATIONS.md does not contain %q", text)
		}
	}
	for _, f := range settings.Flags() {
		name := f.Names()[0]
		row := fmt.Sprintf("| `--%s` | `%s` |", name, settings.Env(name))
		if s, ok := f.(*cli.StringFlag); ok && s.Value != "" {
			row += fmt.Sprintf(" `%s` |", s.Value)
		}
		want(row)
	}
	checkFlagsDocumented(newRoot(nil, io.Discard, io.Discard), want)
	for reason, status := range fleet.Reasons() {
		want(fmt.Sprintf("| `%s` | %d | `%s` |", reason, status, reason.Outcome()))
	}
	for _, name := range operator.AlarmNames() {
		want(fmt.Sprintf("| `%s` | ", name))
	}
	for code := range codeNotInForce + 1 {
		want(fmt.Sprintf("\n| %d | ", code))
	}
	_, example, _ := strings.Cut(page, "```yaml\n")
	example, _, _ = strings.Cut(example, "```")
	if _, err := catalogue.Parse("docs/OPERATIONS.md", []byte(example)); err != nil {
		t.Error(err)
	}
}

// checkFlagsDocumented calls want with every flag of c and of its subcommands.
func checkFlagsDocumented(c *cli.Command, want func(string)) {
	for _, f := range c.Flags {
		want("`--" + f.Names()[0] + "`")
	}
	for _, sub := range c.Commands {
		checkFlagsDocumented(sub, want)
	}
}
