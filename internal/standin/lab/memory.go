package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// PeakMemory returns the peak resident memory in bytes of the running process pid. It needs
// Linux, and returns an error if the process has ended.
func PeakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kb, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		return 0, errors.Wrapf(err, "peak memory of process %d", pid)
	}
	return kb << 10, nil
}
