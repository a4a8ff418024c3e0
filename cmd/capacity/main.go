// Command capacity measures the memory, processor time and traffic of the router at
// several sizes, and writes the tables of docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/capacity"
)

func newRoot() *cli.Command {
	resultsFlag := &cli.StringFlag{Name: "results", Usage: "`FILE` with the measurements", Value: "docs/capacity.json", Sources: cli.EnvVars("CAPACITY_RESULTS")}
	pageFlag := &cli.StringFlag{Name: "page", Usage: "`FILE` whose tables are replaced", Value: "docs/CAPACITY.md", Sources: cli.EnvVars("CAPACITY_PAGE")}
	otherLoadFlag := &cli.StringFlag{Name: "beside", Usage: "`TEXT` that describes the other load on the machine", Value: "not stated", Sources: cli.EnvVars("CAPACITY_BESIDE")}
	return &cli.Command{
		Name: "capacity", Usage: "estimate the cost of the router at the design scale",
		Commands: []*cli.Command{
			{
				Name: "measure", Usage: "measure, and write the results and the page", Flags: []cli.Flag{resultsFlag, pageFlag, otherLoadFlag},
				Action: func(_ context.Context, cmd *cli.Command) error {
					if err := measure(cmd.String("results"), cmd.String("beside")); err != nil {
						return err
					}
					return render(cmd.String("results"), cmd.String("page"))
				},
			},
			{
				Name: "page", Usage: "write the page from earlier results", Flags: []cli.Flag{resultsFlag, pageFlag},
				Action: func(_ context.Context, cmd *cli.Command) error {
					return render(cmd.String("results"), cmd.String("page"))
				},
			},
		},
	}
}

// measure runs all measurements and writes the results to file.
func measure(file, otherLoad string) error {
	r := capacity.Run{
		Date: time.Now().UTC().Format(time.DateOnly), Cores: runtime.NumCPU(), GoMaxProcs: runtime.GOMAXPROCS(0), GoVersion: runtime.Version(),
		MachineLoad: "load averages " + loadAverages() + "; beside: " + otherLoad,
	}
	var err error
	if r.Series, err = capacity.Measure(func(name string) { fmt.Fprintln(os.Stderr, "measuring", name) }); err != nil {
		return err
	}
	return os.WriteFile(file, r.Encode(), 0o644)
}

// loadAverages returns the load averages over 1, 5 and 15 minutes, or "unknown" if the
// system has no /proc/loadavg.
func loadAverages() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], ", ")
}

// render replaces the tables of the page file by those computed from the results file.
func render(results, page string) error {
	data, err := os.ReadFile(results)
	if err != nil {
		return errors.Wrap(err, "read the results")
	}
	run, err := capacity.Decode(data)
	if err != nil {
		return errors.Wrap(err, results)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	text, err = capacity.Render(text, run)
	if err != nil {
		return errors.Wrap(err, page)
	}
	return os.WriteFile(page, text, 0o644)
}

func main() {
	if err := newRoot().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
