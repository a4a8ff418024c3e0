package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/routes/routecheck"
	"github.com/parsleyproxy/parsleyproxy/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a configuration of the users' platform before it is stored",
		ArgsUsage: "FILE",
		Description: "FILE contains the value of the store's key with the configuration. The command makes no connection.\n" +
			"Exit code 0: no problems, 1: problems, 2: wrong usage or an unreadable file.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "`FILE` with the configuration in force; what differs is printed"},
			&cli.Int64Flag{Name: "memory", Usage: "memory of the smallest instance in `MiB`", HideDefault: true},
			jsonFlag(),
		},
		Action: checkConfiguration,
	}
}

func checkConfiguration(_ context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd, "FILE"); err != nil {
		return err
	}
	opt, err := checkOptions(cmd)
	if err != nil {
		return err
	}
	name := cmd.Args().First()
	config, err := readConfiguration(name)
	if err != nil {
		return err
	}
	report := routecheck.Check(config, opt)
	if cmd.Bool("json") {
		err = printJSON(cmd.Root().Writer, &report)
	} else {
		_, err = fmt.Fprint(cmd.Root().Writer, report.Text())
	}
	if err == nil && report.Problems() > 0 {
		err = errors.Errorf("%s: problems: %d", name, report.Problems())
	}
	return err
}

func checkOptions(cmd *cli.Command) (routecheck.Options, error) {
	memory := cmd.Int64("memory")
	opt := routecheck.Options{Memory: memory << 20}
	if cmd.IsSet("memory") && (memory <= 0 || opt.Memory>>20 != memory) {
		return opt, usagef("--memory: want 1 MiB or more, not %d", memory)
	}
	if !cmd.IsSet("in-force") {
		return opt, nil
	}
	name := cmd.String("in-force")
	inForce, err := readConfiguration(name)
	if err != nil {
		return opt, err
	}
	if len(inForce.Invalid) > 0 {
		return opt, usagef("%s: %s: %s", name, inForce.Invalid[0].Path, inForce.Invalid[0].Message)
	}
	opt.InForce = inForce
	return opt, nil
}

func readConfiguration(name string) (*routecheck.Config, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeConfigForCheck(data)
	if err != nil {
		return nil, usagef("%s: %v", name, err)
	}
	return config, nil
}
