package scenario

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// fleetSteps are the steps that start processes, the load and special requests.
var fleetSteps = map[string]step{
	"fleet":   {usage: "[instances=N] [upstreams=N] [zones=N] [accounts=N] [rate=N] [class=CLASS] [fencing=none] [service-time=D] [straggle=PERCENT:D] [relayed] [baseline]", run: (*Session).startFleet},
	"load":    {usage: "[times=ACCOUNT:N] [sticky=ACCOUNT:SHARE]", run: (*Session).startLoad, setsMark: true},
	"start":   {usage: "PROCESS", minArgs: 1, run: (*Session).start, setsMark: true},
	"smuggle": {usage: "ACCOUNT: send requests that carry the account's caller key in various places and encodings", minArgs: 1, run: (*Session).sendDisguisedKeys, setsMark: true},
	"replace": {usage: "INSTANCE", minArgs: 1, run: (*Session).replace, setsMark: true},
}

// defaultRate is the default load in requests/s. It is far below the capacity of
// the fleet, so that no refusal is due to an overloaded machine.
const defaultRate = 120

func (s *Session) startFleet(ctx context.Context, args []string) error {
	if s.fleet != nil {
		return errors.New("fleet was already started")
	}
	shape, err := lab.FindShape("small")
	if err != nil {
		return err
	}
	service := &shape.Services[0]
	opts := lab.Options{Kind: lab.Router, Dir: s.Dir, Binaries: s.Binaries, Rate: defaultRate, Seed: 1}
	zones, accounts := len(shape.Zones), len(shape.Accounts)
	intSetter := func(out *int) func(string) error {
		return func(v string) (err error) { *out, err = strconv.Atoi(v); return err }
	}
	rate := 0
	if err := parseOptions(args, map[string]func(string) error{
		"instances": intSetter(&shape.Instances), "upstreams": intSetter(&service.Upstreams), "zones": intSetter(&zones),
		"accounts": intSetter(&accounts), "rate": intSetter(&rate), "keys": intSetter(&service.Keys),
		"class":        func(v string) error { service.Class = catalogue.Class(v); return nil },
		"fencing":      func(v string) error { opts.Fencing = catalogue.Fencing(v); return nil },
		"service-time": func(v string) (err error) { service.ServiceTime, err = time.ParseDuration(v); return err },
		"warm-time":    func(v string) (err error) { service.WarmTime, err = time.ParseDuration(v); return err },
		"drain-time":   func(v string) (err error) { shape.DrainTime, err = time.ParseDuration(v); return err },
		"straggle": func(v string) (err error) {
			percent, d, _ := strings.Cut(v, ":")
			if service.StragglePercent, err = strconv.ParseFloat(percent, 64); err != nil {
				return err
			}
			service.StraggleTime, err = time.ParseDuration(d)
			return err
		},
		"relayed":  func(string) error { opts.Relayed = true; return nil },
		"baseline": func(string) error { opts.Kind = lab.Baseline; return nil },
	}); err != nil {
		return err
	}
	if rate > 0 {
		opts.Rate = float64(rate)
	}
	for len(shape.Zones) < zones {
		shape.Zones = append(shape.Zones, fleet.ZoneID("zone-"+string(rune('a'+len(shape.Zones)))))
	}
	shape.Zones = shape.Zones[:zones]
	for len(shape.Accounts) < accounts {
		shape.Accounts = append(shape.Accounts, lab.Account{ID: fleet.AccountID("account-" + strconv.Itoa(len(shape.Accounts)+1)), Share: 20})
	}
	shape.Accounts = shape.Accounts[:accounts]
	opts.Shape = shape
	if s.client, err = lab.Client(); err != nil {
		return err
	}
	s.stopped = make(map[string]bool)
	s.fleet, err = lab.Start(ctx, opts)
	return err
}

// maxLoadDuration bounds the load if no step stops it.
const maxLoadDuration = 2 * time.Minute

func (s *Session) startLoad(_ context.Context, args []string) (err error) {
	perAccount := func(set func(a *lab.Account, n float64)) func(string) error {
		return func(v string) error {
			id, number, _ := strings.Cut(v, ":")
			n, err := strconv.ParseFloat(number, 64)
			if err != nil {
				return err
			}
			for i := range s.fleet.Shape.Accounts {
				if a := &s.fleet.Shape.Accounts[i]; string(a.ID) == id {
					set(a, n)
					return nil
				}
			}
			return errors.Errorf("unknown account %q", id)
		}
	}
	if err := parseOptions(args, map[string]func(string) error{
		"times":  perAccount(func(a *lab.Account, n float64) { a.LoadFactor = n }),
		"sticky": perAccount(func(a *lab.Account, n float64) { a.StickyShare = n }),
	}); err != nil {
		return err
	}
	s.phase, err = s.fleet.StartLoad(lab.Traffic{Name: "load", Rate: s.fleet.Rate, Duration: maxLoadDuration})
	return err
}

func (s *Session) findInstance(name string) (lab.Instance, bool) {
	for _, i := range s.fleet.Instances {
		if string(i.ID) == name {
			return i, true
		}
	}
	return lab.Instance{}, false
}

// start starts an instance or upstream that has ended.
func (s *Session) start(ctx context.Context, args []string) error {
	name := args[0]
	if i, ok := s.findInstance(name); ok {
		delete(s.stopped, name)
		return s.fleet.StartInstance(ctx, i)
	}
	return s.fleet.RestartUpstream(ctx, fleet.UpstreamID(name))
}

// replace terminates an instance with SIGTERM, starts it again and waits until it
// is ready.
func (s *Session) replace(ctx context.Context, args []string) error {
	if err := s.terminate(ctx, args); err != nil {
		return err
	}
	if err := s.start(ctx, args); err != nil {
		return err
	}
	return s.waitReady(ctx, append(args, "10s"))
}
