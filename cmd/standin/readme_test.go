package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
)

// Guards against commands in the README that do not work: the test runs the session
// unchanged against a running fleet.
func TestReadmeSession(t *testing.T) {
	page, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	var session strings.Builder
	for _, block := range regexp.MustCompile("(?s)```sh session\n(.*?)```").FindAllStringSubmatch(string(page), -1) {
		session.WriteString(block[1])
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	binaries, err := lab.FindBinaries(ctx, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "bin"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(binaries.Proxy, filepath.Join(dir, "bin", "parsleyproxy")); err != nil {
		t.Fatal(err)
	}
	shape, err := lab.FindShape("small")
	if err != nil {
		t.Fatal(err)
	}
	f, err := lab.Start(ctx, lab.Options{Shape: shape, Kind: lab.Router, Dir: filepath.Join(dir, "fleet"), Binaries: binaries, Rate: fleetRequestRate, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var env strings.Builder
	printFleet(&env, f)
	if err := os.WriteFile(filepath.Join(dir, "fleet.env"), []byte(env.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(ctx, "bash", "-e", "-c", session.String())
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	checkLogs(t, f.Dir, []string{
		string(lab.CallerKey(shape.Accounts[0].ID)), lab.OperatorToken, regexp.MustCompile(`pk_\S+`).FindString(string(out)),
	})
	for _, want := range []string{`"key":"hall-7"`, "upstream-lost", "in force at 20", "pk_"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the session does not print %q:\n%s", want, out)
		}
	}
}

// checkLogs fails the test if the log of an instance is empty or contains one of secrets:
// a caller key or the operator token. An empty secret, which was not found in the
// output of the session, also fails the test.
func checkLogs(t *testing.T, dir string, secrets []string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "instance-*.log"))
	if err != nil || len(logs) == 0 {
		t.Fatalf("instance logs %v, error %v; want at least one log", logs, err)
	}
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) == 0 {
			t.Errorf("%s is empty", name)
		}
		for _, s := range secrets {
			if s == "" || strings.Contains(string(text), s) {
				t.Errorf("%s contains the secret %q, or the secret is empty", filepath.Base(name), s)
			}
		}
	}
}
