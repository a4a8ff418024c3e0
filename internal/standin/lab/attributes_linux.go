package lab

import "syscall"

// processAttributes returns the attributes of a child process. The kernel sends it
// SIGKILL when the thread that started it exits, so that it does not outlive a
// killed lab. It gets a process group of its own, so that an interrupt from the
// terminal does not reach it: Fleet.Close ends the processes in order instead.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
