package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case, with its disruption if trouble is set, and reports whether the
// rule was broken.
type scenario func(g *rig, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{"uploads": playUploads, "lengths": playLengths}

func main() { os.Exit(run(os.Args)) }

// run plays the scenario that the first argument names with the program that the second
// names, and writes the record to the file that the third names. The fourth is "with" or
// "without", for the disruption.
func run(args []string) int {
	if len(args) != 5 || scenarios[args[1]] == nil || args[4] != "with" && args[4] != "without" {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO PROGRAM RECORD with|without")
		return exitNotRun
	}
	out, err := os.Create(args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	g, err := newRig(args[2], out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	g.notef("%s the disruption", args[4])
	broken, err := scenarios[args[1]](g, args[4] == "with")
	g.close()
	switch {
	case err != nil:
		g.notef("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		g.notef("BROKEN")
		return exitBroken
	}
	g.notef("HELD")
	return exitHeld
}
