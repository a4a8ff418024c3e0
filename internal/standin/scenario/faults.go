package scenario

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// faultSteps are the steps that inject and clear faults.
var faultSteps = map[string]step{
	"sigkill":   {usage: "PROCESS", minArgs: 1, run: (*Session).kill, setsMark: true},
	"pause":     {usage: "PROCESS", minArgs: 1, run: (*Session).pause, setsMark: true},
	"resume":    {usage: "PROCESS", minArgs: 1, run: (*Session).resume, setsMark: true},
	"terminate": {usage: "PROCESS [WITHIN]", minArgs: 1, run: (*Session).terminate, setsMark: true},
	"store":     {usage: "ok|down|slow|lose-answers [DELAY]", minArgs: 1, run: (*Session).storeFault, setsMark: true},
	"upstream":  {usage: "UPSTREAM ok|cold|freeze-answers|late|crossed|shed|short [DELAY]", minArgs: 2, run: (*Session).upstreamFault, setsMark: true},
	"cut":       {usage: "FROM TO [requests|answers|both]", minArgs: 2, run: (*Session).cutLink, setsMark: true},
	"silence":   {usage: "FROM TO", minArgs: 2, run: (*Session).silenceLink, setsMark: true},
	"heal":      {run: (*Session).healLinks, setsMark: true},
}

func (s *Session) kill(ctx context.Context, args []string) error {
	s.stopped[args[0]] = true
	return s.fleet.Kill(ctx, args[0])
}

func (s *Session) pause(_ context.Context, args []string) error {
	s.stopped[args[0]] = true
	return s.fleet.Pause(args[0])
}

func (s *Session) resume(_ context.Context, args []string) error {
	delete(s.stopped, args[0])
	return s.fleet.Resume(args[0])
}

// shutdownTimeout is the default time within which a terminated instance must have
// handed over its roles and finished its requests.
const shutdownTimeout = 10 * time.Second

func (s *Session) terminate(ctx context.Context, args []string) (err error) {
	s.stopped[args[0]] = true
	within := shutdownTimeout
	if len(args) > 1 {
		if within, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	}
	if err := s.fleet.Terminate(ctx, args[0], within); err != nil {
		return err
	}
	if err := s.fleet.Process(args[0]).Err(); err != nil {
		return errors.Wrapf(err, "terminate %s", args[0])
	}
	return nil
}

// faultQuery formats the query with which a test double is told to simulate a
// fault.
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

func (s *Session) cutLink(_ context.Context, args []string) error {
	f := relay.Fault{Mode: relay.ModeCut}
	if len(args) > 2 {
		switch args[2] {
		case "requests":
			f.Direction = relay.ToTarget
		case "answers":
			f.Direction = relay.ToClient
		case "both":
		default:
			return errors.Errorf("invalid direction %q: want requests, answers or both", args[2])
		}
	}
	return s.fleet.LinkFault(args[0], args[1], f)
}

func (s *Session) silenceLink(_ context.Context, args []string) error {
	return s.fleet.LinkFault(args[0], args[1], relay.Fault{Mode: relay.ModeSilent})
}

func (s *Session) healLinks(context.Context, []string) error { return s.fleet.Heal() }
