package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// newSingleInstance returns an instance without a store, with its settings in a named pipe,
// and the text of its settings.
func newSingleInstance(t *testing.T) (in *instance, settings string) {
	t.Helper()
	env := &testEnv{t: t, dir: t.TempDir(), startedAt: time.Now(), network: fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, runsStarted.Add(1)%250)}
	in = &instance{name: "front-1", ip: env.network + ".1", zone: "z1", env: env}
	in.writeSettings(false)
	data, err := os.ReadFile(in.settingsPath())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(in.settingsPath()); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(in.settingsPath(), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.kill)
	return in, string(data)
}

// awaitLog waits until the log of the instance contains text, and reports whether it does
// within d.
func (in *instance) awaitLog(text string, d time.Duration) bool {
	for end := time.Now().Add(d); ; time.Sleep(5 * time.Millisecond) {
		data, err := os.ReadFile(filepath.Join(in.env.dir, in.name+".log"))
		if err == nil && strings.Contains(string(data), text) {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// Guards against an instance that is ended by a SIGHUP during its start, or that does not
// read its settings again after one.
func TestHangupDuringStart(t *testing.T) {
	in, settings := newSingleInstance(t)
	in.start()
	pipe, err := os.OpenFile(in.settingsPath(), os.O_WRONLY, 0) // returns once the instance reads its settings
	if err != nil {
		t.Fatal(err)
	}
	in.signal(syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond)
	if _, err := pipe.WriteString(settings); err != nil {
		t.Fatalf("writing the settings: %v; the instance has ended", err)
	}
	_ = pipe.Close()
	if !in.awaitLog("instance started", 5*time.Second) {
		t.Fatal("the instance did not start")
	}
	go func() { // returns once the instance reads its settings again
		_ = os.WriteFile(in.settingsPath(), []byte(strings.Replace(settings, "6000ms", "5000ms", 1)), 0o600)
	}()
	if !in.awaitLog(`"@message":"settings reloaded"`, 5*time.Second) {
		t.Fatal("the settings were not read again")
	}
	if !in.awaitLog(`"changed":true,"signal":true`, 0) {
		t.Error("the settings were read because of their interval, want because of the signal")
	}
}

// Guards against a package that receives SIGHUP only after those of the libraries have been
// initialized, which take most of the start.
func TestHangupIsReceivedFirst(t *testing.T) {
	cmd := exec.Command(program, "--help")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatal(err)
	}
	before, _, found := strings.Cut(string(out), "init github.com/parsleyproxy/parsleyproxy/internal/hangup ")
	if !found {
		t.Fatal("package hangup is not initialized")
	}
	for _, name := range []string{"net/http", "github.com/prometheus/client_golang/prometheus", "github.com/parsleyproxy/parsleyproxy/internal/direct"} {
		if strings.Contains(before, "init "+name+" ") {
			t.Errorf("package %s is initialized before package hangup", name)
		}
	}
}

// hangUpWhileReading runs the program with the name of a pipe as its last argument, sends
// SIGHUP while it reads the pipe, writes content, and returns how the process ended.
func hangUpWhileReading(t *testing.T, content string, args ...string) error {
	t.Helper()
	name := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(name, 0o600); err != nil {
		t.Fatal(err)
	}
	// The command must not inherit that SIGHUP is ignored, as it is under nohup: a signal that the
	// parent handles has its default action in the child.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	cmd := exec.Command(program, append(args, name)...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer time.AfterFunc(5*time.Second, func() { _ = cmd.Process.Kill() }).Stop()
	pipe, err := os.OpenFile(name, os.O_WRONLY, 0) // returns once the process reads the pipe
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	_, _ = pipe.WriteString(content) // fails if the process has ended
	_ = pipe.Close()
	return cmd.Wait()
}

// Guards against commands of operators that go on after their terminal has been closed.
func TestHangupEndsCommands(t *testing.T) {
	if err := hangUpWhileReading(t, "", "catalogue", "check"); err == nil || err.Error() != "signal: hangup" {
		t.Errorf("the command ended with %v, want signal: hangup", err)
	}
}

// Guards against an instance of the role serve that a SIGHUP ends at once, with the requests
// in progress.
func TestHangupDoesNotEndServe(t *testing.T) {
	t.Setenv("PARSLEY_OPERATOR_TOKEN", strings.Repeat("o", 16))
	err := hangUpWhileReading(t, strings.Repeat("s", 32), "serve", "--check", "--instance", "i1", "--zone", "z1", "--store", "127.0.0.1:1", "--list", "127.0.0.1:1",
		"--advertise-peer", "127.0.0.1:1", "--advertise-forward", "127.0.0.1:2", "--fleet-secret-file")
	if err != nil {
		t.Errorf("the process ended with %v, want success", err)
	}
}

// Guards against an instance that ends when nobody reads its log any more.
func TestLogWithoutReader(t *testing.T) {
	in, settings := newSingleInstance(t)
	if err := os.Remove(in.settingsPath()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(in.settingsPath(), []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "front")
	cmd.Env = append(os.Environ(), "PARSLEYPROXY_BOOT="+in.settingsPath())
	log, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	if _, err := bufio.NewReader(log).ReadString('\n'); err != nil {
		t.Error(err)
	}
	_ = log.Close()
	go func() { exited <- cmd.Wait() }()
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil { // logs that the settings were read
		t.Error(err)
	}
	select {
	case err := <-exited:
		t.Fatalf("the instance ended with %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	_ = cmd.Process.Kill()
	<-exited
}
