package lab

import (
	"bufio"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Process is a child process that the lab has started.
type Process struct {
	Name string

	cmd        *exec.Cmd
	logFile    string        // path of the file with standard output and standard error
	listenAddr chan string   // receives the listen address that the process prints
	done       chan struct{} // closed when the process has exited
	exitErr    error         // result of cmd.Wait; valid once done is closed

	mu     sync.Mutex
	output strings.Builder // copy of the standard output
	paused bool
}

// processSpec describes a process to start.
type processSpec struct {
	name string
	path string
	args []string
	env  []string
}

// maxLineBytes is the maximum length of a line of output.
const maxLineBytes = 1 << 20

// execProcess starts a process and appends its output to the file NAME.log in dir.
func execProcess(dir string, s processSpec) (*Process, error) {
	file := filepath.Join(dir, s.name+".log")
	log, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	cmd := exec.Command(s.path, s.args...)
	cmd.Env = append(os.Environ(), s.env...)
	cmd.Stderr = log
	cmd.SysProcAttr = processAttributes()
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		_ = log.Close()
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", s.name)
	}
	p := &Process{Name: s.name, cmd: cmd, logFile: file, listenAddr: make(chan string, 1), done: make(chan struct{})}
	go p.copyOutput(stdout, log)
	return p, nil
}

// copyOutput copies the standard output to the log file and p.output, and sends the
// first listen address found in it, until the process has exited.
func (p *Process) copyOutput(stdout io.Reader, log *os.File) {
	defer func() { _ = log.Close() }()
	sc := bufio.NewScanner(stdout)
	sc.Buffer(nil, maxLineBytes)
	addrSent := false
	for sc.Scan() {
		line := sc.Text()
		_, _ = log.WriteString(line + "\n")
		p.mu.Lock()
		p.output.WriteString(line + "\n")
		p.mu.Unlock()
		if addr, ok := listeningAddr(line); ok && !addrSent {
			addrSent = true
			p.listenAddr <- addr
		}
	}
	p.exitErr = p.cmd.Wait()
	close(p.done)
}

// listeningAddr returns the address in a line of the form "listening ADDR" or
// "listening on ADDR ...".
func listeningAddr(line string) (string, bool) {
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "listening" {
		return "", false
	}
	for _, w := range words[1:] {
		if _, err := netip.ParseAddrPort(w); err == nil {
			return w, true
		}
	}
	return "", false
}

// Output returns what the process has written to standard output.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// maxLogTail is the maximum number of bytes that logTail returns.
const maxLogTail = 2000

// logTail returns the end of the log file. Errors include it because tests remove
// the file.
func (p *Process) logTail() string {
	text, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogTail):])
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error with which the process exited, or nil. It is valid only once
// Done is closed.
func (p *Process) Err() error { return p.exitErr }

func (p *Process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process. It does nothing if the process has exited.
func (p *Process) signal(s os.Signal) error {
	if p.exited() {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "send %s to %s", s, p.Name)
	}
	return nil
}

// wait waits up to d and reports whether the process has exited.
func (p *Process) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return p.exited()
	}
}
