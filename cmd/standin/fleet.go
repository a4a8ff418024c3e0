package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
)

// fleetRequestRate is the total rate in requests/s. The limits of the client accounts
// are derived from it.
const fleetRequestRate = 300

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run a fleet without load until it is interrupted, to try out the router",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "small", Usage: "shape of the fleet: authority, porteria or small"},
			&cli.StringFlag{Name: "run-dir", Usage: "`DIR` for logs and histories (default: a new temporary directory)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			shape, err := lab.FindShape(c.String("shape"))
			if err != nil {
				return err
			}
			dir := c.String("run-dir")
			if dir == "" {
				dir = filepath.Join(os.TempDir(), "parsleyproxy-fleet-"+strconv.FormatInt(time.Now().Unix(), 10))
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			binaries, err := lab.FindBinaries(ctx, dir)
			if err != nil {
				return err
			}
			f, err := lab.Start(ctx, lab.Options{Shape: shape, Kind: lab.Router, Dir: dir, Binaries: binaries, Rate: fleetRequestRate, Seed: 1})
			if err != nil {
				return err
			}
			defer f.Close()
			printFleet(c.Root().Writer, f)
			<-ctx.Done()
			return nil
		},
	}
}

// printFleet prints the addresses, the operator token and a caller key of the fleet as
// shell commands, and the processes of the upstreams as shell comments.
func printFleet(w io.Writer, f *lab.Fleet) {
	account := f.Shape.Accounts[0].ID
	fmt.Fprintf(w, "# The fleet serves. Logs are in %s. Interrupt to stop it.\n", f.Dir)
	fmt.Fprintf(w, "export PARSLEY_OPERATOR=%s PARSLEY_OPERATOR_TOKEN=%s PARSLEY_BY=you\n", f.Instances[0].OperatorAddr, lab.OperatorToken)
	fmt.Fprintf(w, "export CALLER_KEY=%s\n", string(lab.CallerKey(account)))
	for i, in := range f.Instances {
		fmt.Fprintf(w, "export INSTANCE_%d=%s # %s in %s\n", i+1, in.CallerAddr, in.ID, in.Zone)
	}
	for _, u := range f.Upstreams {
		fmt.Fprintf(w, "# %s in %s: process %d\n", u.ID, u.Zone, f.PID(string(u.ID)))
	}
}
