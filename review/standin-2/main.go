// Command standin-2 runs one case of the second review: a small deployment of the project's
// own program on loopback addresses, with stand-ins of the platform's store, the upstreams
// and the callers.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not be run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
)

// Exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// verdict is the result of a case: whether its rule was broken, and why.
type verdict struct {
	broken bool
	text   string
}

// cases maps the names of the cases to the functions that play them. trouble is false if
// the case is to be played without its disruption.
var cases = map[string]func(d *deployment, trouble bool) (verdict, error){}

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
	}
	os.Exit(code)
}

// run plays the case that the arguments name: its name, the program under test and the file
// for the record.
func run(args []string) (int, error) {
	if len(args) != 3 || cases[args[0]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		return codeNotRun, fmt.Errorf("usage: standin-2 CASE PROGRAM RECORD, with CASE one of %v", names)
	}
	rec, err := newRecord(args[2])
	if err != nil {
		return codeNotRun, err
	}
	defer rec.close()
	d, err := newDeployment(args[1], rec)
	if err != nil {
		return codeNotRun, err
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(codeNotRun)
	}()
	v, err := cases[args[0]](d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return codeNotRun, err
	}
	d.stop()
	rec.printf("result: broken %t: %s", v.broken, v.text)
	fmt.Println(v.text)
	if v.broken {
		return codeBroken, nil
	}
	return codeHeld, nil
}
