package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "compute the results of a run from the histories in its directory", ArgsUsage: "RUN-DIR",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "upstreams", Usage: "`DIR` with the upstreams' histories (default: RUN-DIR)"},
			&cli.StringFlag{Name: "compare", Usage: "compare with the report in `FILE`"},
			&cli.StringFlag{Name: "direct", Usage: "`FILE` with the report of a run over direct connections, from which the added latency is computed"},
		},
		Action: runReport,
	}
}

func runReport(_ context.Context, c *cli.Command) error {
	dir := c.Args().First()
	if dir == "" || c.Args().Len() > 1 {
		return errors.New("want one argument: RUN-DIR, the directory of the run")
	}
	upstreams := c.String("upstreams")
	if upstreams == "" {
		upstreams = dir
	}
	h, err := report.Read(dir, upstreams)
	if err != nil {
		return err
	}
	r := report.Compute(h)
	if name := c.String("direct"); name != "" {
		direct, err := readReport(name)
		if err != nil {
			return err
		}
		r.AddLatencyAgainst(direct)
	}
	out := c.Root().Writer
	fmt.Fprint(out, r.Table())
	if err := os.WriteFile(filepath.Join(dir, report.File), r.Encode(), 0o644); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if name := c.String("compare"); name != "" {
		earlier, err := readReport(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "\ncompared with %s\n%s", name, r.Compare(earlier))
	}
	if broken := r.Broken(); len(broken) > 0 {
		return errors.Errorf("%d figures that must be 0 are not 0", len(broken))
	}
	return nil
}

func readReport(name string) (report.Report, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return report.Report{}, err
	}
	r, err := report.Decode(data)
	if err != nil {
		return report.Report{}, errors.Wrap(err, name)
	}
	return r, nil
}
