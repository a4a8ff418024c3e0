package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send requests of several client accounts at fixed rates (open-loop load)",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "`FIELDS` of an instance: name=i1;addr=IP:PORT"},
			&cli.StringSliceFlag{Name: "account", Required: true, Usage: "`FIELDS` of an account: id=a1;key=SECRET;rate=100;times=3;target=i1;share=0.5"},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`FIELDS` of an entry: id=e1;service=s1;prefix=/s1/;class=idempotent;weight=1;keys=1000;skew=1.1"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.IntFlag{Name: "max-requests", Usage: "largest number of requests; 0: no limit"},
			&cli.IntFlag{Name: "max-in-flight", Value: 4096},
			&cli.DurationFlag{Name: "deadline", Value: 2 * time.Second, Usage: "deadline of each request"},
			&cli.DurationFlag{Name: "delay", Usage: "simulated network delay before each request is sent"},
			&cli.DurationFlag{Name: "hot-change", Usage: "interval at which the hot keys change"},
			&cli.DurationFlag{Name: "health", Value: 500 * time.Millisecond, Usage: "interval of readiness checks; 0: none"},
			&cli.BoolFlag{Name: "direct", Usage: "targets are upstreams that do not check fencing tokens"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "history", Usage: "write the history to `FILE`"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	cfg := load.Config{
		Duration: c.Duration("duration"), MaxRequests: c.Int("max-requests"), MaxInFlight: c.Int("max-in-flight"),
		Deadline: c.Duration("deadline"), NetworkDelay: c.Duration("delay"), HotKeyInterval: c.Duration("hot-change"),
		ReadinessInterval: c.Duration("health"), Direct: c.Bool("direct"), Seed: c.Uint64("seed"),
	}
	if err := errors.Join(
		parseFlagValues(c, "target", &cfg.Targets, load.ParseTarget),
		parseFlagValues(c, "account", &cfg.Accounts, load.ParseAccount),
		parseFlagValues(c, "entry", &cfg.Entries, load.ParseEntry),
	); err != nil {
		return err
	}
	if name := c.String("history"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			return errors.Wrap(err, "create the history file")
		}
		defer func() { _ = f.Close() }()
		cfg.History = f
	}
	g, err := load.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := g.Run(ctx)
	fmt.Fprint(c.Root().Writer, s.String())
	return err
}

// parseFlagValues parses each value of a repeatable flag and appends the result to out.
func parseFlagValues[T any](c *cli.Command, flag string, out *[]T, parse func(string) (T, error)) error {
	for _, s := range c.StringSlice(flag) {
		v, err := parse(s)
		if err != nil {
			return errors.Wrapf(err, "--%s", flag)
		}
		*out = append(*out, v)
	}
	return nil
}
