package scenario

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var faultSteps = map[string]step{
	"sigkill":   {usage: "PROCESS", min: 1, run: (*Session).kill, marks: true},
	"pause":     {usage: "PROCESS", min: 1, run: (*Session).pause, marks: true},
	"resume":    {usage: "PROCESS", min: 1, run: (*Session).resume, marks: true},
	"terminate": {usage: "PROCESS [WITHIN]", min: 1, run: (*Session).terminate, marks: true},
	"store":     {usage: "ok|down|slow|lose-answers [DELAY]", min: 1, run: (*Session).storeFault, marks: true},
	"upstream":  {usage: "UPSTREAM ok|cold|freeze-answers|late|crossed|shed|short [DELAY]", min: 2, run: (*Session).upstreamFault, marks: true},
	"cut":       {usage: "FROM TO [requests|answers|both]", min: 2, run: (*Session).cut, marks: true},
	"silence":   {usage: "FROM TO", min: 2, run: (*Session).silence, marks: true},
	"heal":      {run: (*Session).heal, marks: true},
}

func (s *Session) kill(ctx context.Context, args []string) error {
	s.gone[args[0]] = true
	return s.fleet.Kill(ctx, args[0])
}

func (s *Session) pause(_ context.Context, args []string) error {
	s.gone[args[0]] = true
	return s.fleet.Pause(args[0])
}

func (s *Session) resume(_ context.Context, args []string) error {
	delete(s.gone, args[0])
	return s.fleet.Resume(args[0])
}

// shutdownBound is how long an instance may take to hand over its roles and to
// finish its requests.
const shutdownBound = 10 * time.Second

func (s *Session) terminate(ctx context.Context, args []string) (err error) {
	s.gone[args[0]] = true
	within := shutdownBound
	if len(args) > 1 {
		if within, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	}
	if err := s.fleet.Terminate(ctx, args[0], within); err != nil {
		return err
	}
	if err := s.fleet.Process(args[0]).Err(); err != nil {
		return errors.Wrapf(err, "%s ended", args[0])
	}
	return nil
}

// faultQuery formats a fault of a test double.
func faultQuery(mode string, rest []string) (string, error) {
	q := "mode=" + mode
	if len(rest) > 0 {
		d, err := time.ParseDuration(rest[0])
		if err != nil {
			return "", err
		}
		q += "&delay-ms=" + strconv.FormatInt(d.Milliseconds(), 10)
	}
	return q, nil
}

func (s *Session) storeFault(ctx context.Context, args []string) error {
	q, err := faultQuery(args[0], args[1:])
	if err != nil {
		return err
	}
	return s.fleet.StoreFault(ctx, q)
}

func (s *Session) upstreamFault(ctx context.Context, args []string) error {
	q, err := faultQuery(args[1], args[2:])
	if err != nil {
		return err
	}
	return s.fleet.UpstreamFault(ctx, fleet.UpstreamID(args[0]), q)
}

func (s *Session) cut(_ context.Context, args []string) error {
	f := relay.Fault{Mode: relay.ModeCut}
	if len(args) > 2 {
		switch args[2] {
		case "requests":
			f.Direction = relay.ToTarget
		case "answers":
			f.Direction = relay.ToClient
		case "both":
		default:
			return errors.Errorf("direction %q: want requests, answers or both", args[2])
		}
	}
	return s.fleet.LinkFault(args[0], args[1], f)
}

func (s *Session) silence(_ context.Context, args []string) error {
	return s.fleet.LinkFault(args[0], args[1], relay.Fault{Mode: relay.ModeSilent})
}

func (s *Session) heal(context.Context, []string) error { return s.fleet.Heal() }
