//go:build review3

// Command stand3 runs the cases of the third review that are scripts. It starts instances
// as separate processes, and stand-ins for the platform, upstreams and clients, and checks
// one rule by what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases are the cases by the names of their folders.
var cases = map[string]func(rec *record, trouble bool) int{
	"coding": codingCase,
	"head":   headCase,
	"lone":   loneCase,
	"seal":   sealCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER, in the root of the repository")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		endProcesses()
		os.Exit(failed)
	}()
	code := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.add("exit %d", code)
	os.Exit(code)
}
