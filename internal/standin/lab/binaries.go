package lab

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// Binaries holds the paths of the executables that the lab starts.
type Binaries struct {
	Proxy   string // parsleyproxy
	Standin string // standin
}

const (
	proxyName   = "parsleyproxy"
	standinName = "standin"
	modulePath  = "github.com/parsleyproxy/parsleyproxy"
)

// FindBinaries returns the executables in the directory of the running executable.
// If they are not there, it builds them into dir.
func FindBinaries(ctx context.Context, dir string) (Binaries, error) {
	if self, err := os.Executable(); err == nil {
		b := binariesIn(filepath.Dir(self))
		if isRegularFile(b.Proxy) && isRegularFile(b.Standin) {
			return b, nil
		}
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return Binaries{}, err
	}
	b := binariesIn(dir)
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		modulePath+"/cmd/"+proxyName, modulePath+"/cmd/"+standinName)
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, errors.Wrapf(err, "build the programs: %s", out)
	}
	return b, nil
}

func binariesIn(dir string) Binaries {
	return Binaries{Proxy: filepath.Join(dir, proxyName), Standin: filepath.Join(dir, standinName)}
}

func isRegularFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

// Range of the ports assigned to processes. It lies below the ephemeral port
// range, so that no outgoing connection takes a port between its assignment and
// the moment when the process binds it.
const (
	firstPort = 20000
	lastPort  = 32000
)

// assignedPorts holds the ports that freeAddrs has returned in this process. The
// recipient binds a port only later; until then it still looks free.
var assignedPorts = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// freeAddrs returns n loopback addresses with free ports, none of which an earlier
// call has returned.
func freeAddrs(n int) ([]string, error) {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	out := make([]string, 0, n)
	for attempts := 0; len(out) < n; attempts++ {
		if attempts > 100*n {
			return nil, errors.Errorf("found only %d of %d free ports", len(out), n)
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		if assignedPorts.ports[port] {
			continue
		}
		addr := "127.0.0.1:" + strconv.Itoa(port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		assignedPorts.ports[port] = true
		out = append(out, addr)
	}
	return out, nil
}
