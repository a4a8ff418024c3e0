// Command parsleyproxy runs one instance of the router and its operator commands.
//
// The exit codes and their meanings are listed in exit.go and docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/hangup"
)

func main() {
	// The signals are never restored, so that another one cannot replace the exit code of a
	// command that has completed.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	os.Exit(run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code. Results are written to
// stdout; errors and progress to stderr.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	err := newRoot(stdin, stdout, stderr).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "parsleyproxy: %v\n", err)
	}
	return exitCode(err)
}

func newRoot(stdin io.Reader, stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:  "parsleyproxy",
		Usage: "route HTTP requests to upstreams that own keys exclusively",
		Description: "Every change reads the catalogue, edits it and stores it, unless the catalogue has\n" +
			"changed in the meantime. That is a conflict: the error names the current revision, and\n" +
			"the command does not retry.\n\n" + exitCodeHelp,
		Reader: stdin, Writer: stdout, ErrWriter: stderr,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Before:         restoreHangup,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // run prints the error
		Commands: []*cli.Command{
			serveCommand(),
			frontCommand(),
			checkCommand(),
			catalogueCommand(),
			entryCommand(),
			accountCommand(),
			keyCommand(),
			outCommand(),
			backCommand(),
			statusCommand(),
			explainCommand(),
		},
	}
	configureCommand(root)
	return root
}

// restoreHangup lets SIGHUP end all commands but those that run an instance.
func restoreHangup(ctx context.Context, cmd *cli.Command) (context.Context, error) {
	switch cmd.Args().First() {
	case "front", "serve":
		return ctx, nil
	}
	return ctx, hangup.RestoreDefault()
}

// keepServingWithoutLog makes writes to a log that nobody reads fail. By default Go ends a
// process with SIGPIPE if such a write is to standard output or standard error.
func keepServingWithoutLog() { signal.Ignore(syscall.SIGPIPE) }

// configureCommand sets up c and its subcommands: usage errors become usageErrors,
// which exit with codeBadInput, and a command that only groups subcommands reports a
// missing or unknown subcommand.
func configureCommand(c *cli.Command) {
	c.HideHelpCommand = true
	if c.OnUsageError == nil {
		c.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
			return usagef("%v; see %s --help", err, cmd.FullName())
		}
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName())
			}
			return usagef("a command is required; see %s --help", cmd.FullName())
		}
	}
	for _, sub := range c.Commands {
		configureCommand(sub)
	}
}
