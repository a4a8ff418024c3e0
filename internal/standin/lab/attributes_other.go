//go:build !linux

package lab

import "syscall"

// processAttributes returns the attributes of a child process. Outside of Linux,
// the kernel does not end child processes when the lab is killed.
func processAttributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
