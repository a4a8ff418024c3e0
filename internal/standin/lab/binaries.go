package lab

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

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

// freeAddrs returns n loopback addresses whose ports are free.
func freeAddrs(n int) ([]string, error) {
	out := make([]string, 0, n)
	for tries := 0; len(out) < n; tries++ {
		if tries > 100*n {
			return nil, errors.Errorf("found only %d of %d free ports", len(out), n)
		}
		addr := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }() // all stay open until the end, so that none is chosen twice
		out = append(out, addr)
	}
	return out, nil
}
