package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance",
		Description: "Secrets come from files or from " + settings.EnvFleetSecret + " and " + settings.EnvOperatorToken + ".\n" +
			"SIGTERM drains the instance and stops it. SIGHUP has no effect: settings are read at the start only.",
		Flags: settings.Flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := requireArgs(cmd); err != nil {
				return err
			}
			s, err := settings.FromCommand(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("check") {
				_, err := fmt.Fprintln(cmd.Root().Writer, "the settings are valid")
				return err
			}
			return runServe(ctx, s)
		},
	}
}

func catalogueCommand() *cli.Command {
	return &cli.Command{
		Name:  "catalogue",
		Usage: "export, check, compare and apply the catalogue",
		Flags: clientFlags(),
		Commands: []*cli.Command{
			{
				Name:   "export",
				Usage:  "print the catalogue; the first line is its revision, which apply uses as base",
				Action: exportCatalogue,
			},
			{
				Name: "check", Usage: "check a catalogue file without contact to an instance", ArgsUsage: "FILE",
				Action: checkFile,
			},
			{
				Name: "diff", Usage: "print what FILE would change, or what changes from OLD to FILE", ArgsUsage: "[OLD] FILE",
				Action: diffFiles,
			},
			{
				Name: "apply", Usage: "store FILE as the catalogue and wait until it is in force", ArgsUsage: "FILE",
				Flags: append(changeFlags(), &cli.StringFlag{
					Name: "base", Usage: "`revision` that the edit is based on (default: the one in the first line of FILE)",
				}),
				Action: applyFile,
			},
		},
	}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "change catalogue entries",
		Flags: clientFlags(),
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "add an entry, or change the given fields of an entry", ArgsUsage: "ID",
				Flags: append(changeFlags(),
					&cli.StringFlag{Name: "owner", Usage: "contact of those responsible"},
					&cli.StringFlag{Name: "service", Usage: "service that requests are routed to"},
					&cli.StringFlag{Name: "path-prefix", Usage: "prefix of the paths, such as /book/"},
					&cli.StringFlag{Name: "class", Usage: "idempotent or non-idempotent"},
					&cli.FloatFlag{Name: "rate", Usage: "requests per second over all client accounts", HideDefault: true},
					&cli.Int64Flag{Name: "burst", Usage: "requests at once over all client accounts", HideDefault: true},
					&cli.BoolFlag{Name: "no-limit", Usage: "remove rate and burst"},
					&cli.StringFlag{Name: "key-from", Usage: "where the routing key is: header, query or path-segment"},
					&cli.StringFlag{Name: "key-name", Usage: "name of the header or query parameter"},
					&cli.IntFlag{Name: "key-segment", Usage: "number of the path segment, from 0", HideDefault: true},
					&cli.BoolFlag{Name: "open", Usage: "admit callers without a caller key; --open=false requires a key again"},
					&cli.StringFlag{Name: "accounts", Usage: "client accounts that may use it, separated by commas; empty: all"},
				),
				Action: setEntry,
			},
			{Name: "remove", Usage: "remove an entry", ArgsUsage: "ID", Flags: changeFlags(), Action: removeEntry},
		},
	}
}

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:  "account",
		Usage: "change client accounts",
		Flags: clientFlags(),
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "add a client account, or change its limit", ArgsUsage: "ID",
				Flags: append(changeFlags(),
					&cli.FloatFlag{Name: "rate", Usage: "requests per second", HideDefault: true},
					&cli.Int64Flag{Name: "burst", Usage: "requests at once", HideDefault: true},
					&cli.BoolFlag{Name: "no-limit", Usage: "remove rate and burst"},
				),
				Action: setAccount,
			},
			{
				Name: "remove", Usage: "remove a client account that has no caller keys and that no entry names", ArgsUsage: "ID",
				Flags: changeFlags(), Action: removeAccount,
			},
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "grant and withdraw caller keys",
		Flags: clientFlags(),
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "create a caller key and print it; it cannot be printed again", ArgsUsage: "ACCOUNT",
				Flags:  append(changeFlags(), &cli.StringFlag{Name: "note", Usage: "text for operators, such as a ticket number"}),
				Action: grantKey,
			},
			{
				Name: "withdraw", Usage: "withdraw a caller key by its hash, or by its first 8 digits or more", ArgsUsage: "HASH",
				Description: "With - as HASH the caller key itself is read from standard input.",
				Flags:       changeFlags(), Action: withdrawKey,
				// The argument may be a caller key given by mistake. The library's error
				// would print it, so it is replaced.
				OnUsageError: func(_ context.Context, cmd *cli.Command, _ error, _ bool) error {
					return usagef("unknown flag or bad value; see %s --help", cmd.FullName())
				},
			},
		},
	}
}

func outCommand() *cli.Command {
	return outageCommand("out", "take an upstream, an instance or a zone out of service", takeOutOfService)
}

func backCommand() *cli.Command {
	return outageCommand("back", "bring an upstream, an instance or a zone back into service", returnToService)
}

func outageCommand(name, usage string, action func(context.Context, *cli.Command, catalogue.OutageKind) error) *cli.Command {
	c := &cli.Command{Name: name, Usage: usage, Flags: clientFlags()}
	for _, kind := range []catalogue.OutageKind{catalogue.OutageUpstream, catalogue.OutageInstance, catalogue.OutageZone} {
		flags := changeFlags()
		if name == "out" {
			flags = append(flags, &cli.BoolFlag{Name: "force", Usage: "store the outage even if the fleet does not know the name"})
		}
		c.Commands = append(c.Commands, &cli.Command{
			Name: string(kind), Usage: "name of the " + string(kind), ArgsUsage: "NAME", Flags: flags,
			Action: func(ctx context.Context, cmd *cli.Command) error { return action(ctx, cmd, kind) },
		})
	}
	return c
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "print the state of the fleet as one instance sees it",
		Flags:  append(clientFlags(), jsonFlag()),
		Action: showStatus,
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "explain which upstream owns a routing key, or why requests were refused",
		Flags: append(clientFlags(), jsonFlag()),
		Commands: []*cli.Command{
			{Name: "key", Usage: "owner of a routing key, since when and why", ArgsUsage: "SERVICE KEY", Action: explainKey},
			{Name: "request", Usage: "why a request was refused", ArgsUsage: "ID", Action: explainRequest},
			{Name: "account", Usage: "refusals of a client account", ArgsUsage: "ID", Action: explainAccount},
		},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

// requireArgs returns a usage error unless the command has one non-empty argument for
// each of names. The names appear in the error.
func requireArgs(cmd *cli.Command, names ...string) error {
	args := cmd.Args().Slice()
	if len(args) > len(names) {
		return usagef("unexpected argument %q; see %s --help", args[len(names)], cmd.FullName())
	}
	if len(args) < len(names) {
		return usagef("%s is required; see %s --help", names[len(args)], cmd.FullName())
	}
	for i, a := range args {
		if a == "" {
			return usagef("%s must not be empty", names[i])
		}
	}
	return nil
}

func explainKey(ctx context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd, "SERVICE", "KEY"); err != nil {
		return err
	}
	return showExplanation(ctx, cmd, keyQuery(cmd.Args().Get(0), cmd.Args().Get(1)))
}

func readFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return data, nil
}

func shortHash(h fleet.CallerKeyHash) string { return h.String()[:12] }
