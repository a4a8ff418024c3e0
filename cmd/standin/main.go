// Command standin runs the test doubles of the systems around the router. Each
// subcommand prints "listening ADDR" on standard output when it is ready and
// ends on SIGINT or SIGTERM.
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

// commands lists the subcommands, each from a file of its own.
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

// newRoot returns the command with its subcommands.
func newRoot() *cli.Command {
	root := &cli.Command{Name: "standin", Usage: "test doubles of the systems around parsleyproxy"}
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

// listenFlag returns the flag --listen with its environment variable.
func listenFlag(env string) cli.Flag {
	return &cli.StringFlag{
		Name: "listen", Usage: "`ADDR` (IP:port) to listen on; port 0 picks a free one",
		Value: "127.0.0.1:0", Sources: cli.EnvVars(env),
	}
}

// server is a running test double.
type server interface {
	Addr() string
	Close()
}

// serve reports that s is ready and closes it on a signal or the end of ctx.
func serve(ctx context.Context, cmd *cli.Command, s server) error {
	defer s.Close()
	if _, err := fmt.Fprintln(cmd.Root().Writer, "listening", s.Addr()); err != nil {
		return errors.Wrap(err, "report the address")
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
