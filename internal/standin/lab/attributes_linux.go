package lab

import "syscall"

// processAttributes makes the kernel end the process with the thread that
// started it, in case the lab itself is killed. A group of its own keeps the
// terminal's interrupt from it; the lab ends it in order instead.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
