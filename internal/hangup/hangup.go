// Package hangup receives SIGHUP from the start of the process on, so that the signal does
// not end an instance that has not started its loops yet.
//
// It imports only os, os/signal and syscall: Go initializes a package as soon as its imports
// are, so that this one comes before the tables of the larger libraries and before main.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds one signal: several that arrive before the first is handled count as one.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Received returns the channel that receives SIGHUP, including one that arrived before the
// call.
func Received() <-chan os.Signal { return received }

// RestoreDefault restores the action that the process was started with, and repeats a signal
// that has been received.
func RestoreDefault() error {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-received:
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
		return nil
	}
}
