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

// Binaries are the programs that the lab starts.
type Binaries struct {
	Proxy   string // parsleyproxy
	Standin string
}

const (
	proxyName   = "parsleyproxy"
	standinName = "standin"
	modulePath  = "github.com/parsleyproxy/parsleyproxy"
)

// FindBinaries returns the programs next to the running one, or builds them into
// dir.
func FindBinaries(ctx context.Context, dir string) (Binaries, error) {
	if self, err := os.Executable(); err == nil {
		b := binariesIn(filepath.Dir(self))
		if isFile(b.Proxy) && isFile(b.Standin) {
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

func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

// Ports below the range that systems use for outgoing connections, so that no
// connection takes a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// taken holds the ports that this process has chosen. Whoever gets one binds it
// later, so that it still looks free for a while.
var taken = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// freeAddrs returns n loopback addresses whose ports are free and have not been
// returned before.
func freeAddrs(n int) ([]string, error) {
	taken.Lock()
	defer taken.Unlock()
	out := make([]string, 0, n)
	for tries := 0; len(out) < n; tries++ {
		if tries > 100*n {
			return nil, errors.Errorf("found only %d of %d free ports", len(out), n)
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken.ports[port] {
			continue
		}
		addr := "127.0.0.1:" + strconv.Itoa(port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		taken.ports[port] = true
		out = append(out, addr)
	}
	return out, nil
}
