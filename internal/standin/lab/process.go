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

// Process is a process that the lab has started.
type Process struct {
	Name string

	cmd       *exec.Cmd
	log       string        // file
	listening chan string   // the address that it prints
	done      chan struct{} // closed when it has ended
	err       error         // how it ended; read after done

	mu     sync.Mutex
	output strings.Builder // standard output
	paused bool
}

// spec says what to start.
type spec struct {
	name string
	path string
	args []string
	env  []string
}

// maxLine bounds a line of output.
const maxLine = 1 << 20

// start starts a process whose output goes to NAME.log in dir.
func start(dir string, s spec) (*Process, error) {
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
	p := &Process{Name: s.name, cmd: cmd, log: file, listening: make(chan string, 1), done: make(chan struct{})}
	go p.follow(stdout, log)
	return p, nil
}

// follow copies the output until the process has ended.
func (p *Process) follow(stdout io.Reader, log *os.File) {
	defer func() { _ = log.Close() }()
	sc := bufio.NewScanner(stdout)
	sc.Buffer(nil, maxLine)
	announced := false
	for sc.Scan() {
		line := sc.Text()
		_, _ = log.WriteString(line + "\n")
		p.mu.Lock()
		p.output.WriteString(line + "\n")
		p.mu.Unlock()
		if addr, ok := listeningAddr(line); ok && !announced {
			announced = true
			p.listening <- addr
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

// listeningAddr finds the address in "listening ADDR" or "listening on ADDR ...".
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

// shownLog bounds what logEnd returns, in bytes.
const shownLog = 2000

// logEnd returns the end of the log for an error, because tests remove the file.
func (p *Process) logEnd() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-shownLog):])
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended, after Done.
func (p *Process) Err() error { return p.err }

func (p *Process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, if it has not ended.
func (p *Process) signal(s os.Signal) error {
	if p.ended() {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "send %s to %s", s, p.Name)
	}
	return nil
}

// wait reports whether the process ended within d.
func (p *Process) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return p.ended()
	}
}
