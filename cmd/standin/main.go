// Command standin runs test doubles of the systems that the router works with, and tools
// for tests with them. Each test double prints a line that starts with "listening" and
// contains its address on standard output when it is ready, and ends on SIGINT or
// SIGTERM.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"github.com/urfave/cli/v3"
)

// commands lists the constructors of the subcommands. Each is defined in its own file.
var commands = []func() *cli.Command{
	storeCommand,
	relayCommand,
	upstreamCommand,
	loadCommand,
	reportCommand,
	baselineCommand,
	demoCommand,
	fleetCommand,
}

func newRoot() *cli.Command {
	root := &cli.Command{Name: "standin", Usage: "test doubles of the systems that parsleyproxy works with"}
	for _, c := range commands {
		root.Commands = append(root.Commands, c())
	}
	return root
}

func main() {
	if err := newRoot().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// listenFlag returns the flag --listen, which can also be set by the environment
// variable env.
func listenFlag(env string) cli.Flag {
	return &cli.StringFlag{
		Name: "listen", Usage: "`ADDR` (IP:port) to listen on; with port 0 the system chooses a free port",
		Value: "127.0.0.1:0", Sources: cli.EnvVars(env),
	}
}

// server is a running test double.
type server interface {
	Addr() string
	Close()
}

// serve prints the ready line of s and closes s when SIGINT or SIGTERM arrives or ctx
// is cancelled.
func serve(ctx context.Context, cmd *cli.Command, s server) error {
	defer s.Close()
	if _, err := fmt.Fprintln(cmd.Root().Writer, "listening", s.Addr()); err != nil {
		return errors.Wrap(err, "print the address")
	}
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	err := g.Run()
	var signal *run.SignalError
	if errors.As(err, &signal) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
