package lab

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// operatorName is the operator's name that is recorded with the lab's changes.
const operatorName = "lab"

func (f *Fleet) startInstances(ctx context.Context) error {
	if f.Kind == Direct {
		return nil
	}
	const listeners = 4
	allAddrs, err := freeAddrs(listeners * f.Shape.Instances)
	if err != nil {
		return err
	}
	for n := range f.Shape.Instances {
		listenAddrs := allAddrs[listeners*n:]
		f.Instances = append(f.Instances, Instance{
			ID: InstanceID(n + 1), Zone: f.Shape.Zone(n), CallerAddr: listenAddrs[0], PeerAddr: listenAddrs[1], ForwardAddr: listenAddrs[2], OperatorAddr: listenAddrs[3],
		})
	}
	if f.network != nil {
		if err := f.network.addStoreAndInstances(); err != nil {
			return err
		}
	}
	if f.Kind == Baseline {
		if err := f.writeCatalogue(f.Shape.Catalogue(f.Rate, catalogue.FencingNone)); err != nil {
			return err
		}
	}
	for _, i := range f.Instances {
		if err := f.StartInstance(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance starts the process of an instance, for the first time or after it
// has exited, and registers it in the platform's instance list.
func (f *Fleet) StartInstance(ctx context.Context, i Instance) error {
	s := f.instanceSpec(i)
	if f.Kind == Baseline {
		s = f.baselineSpec(i)
	}
	if _, err := f.startProcess(s); err != nil {
		return err
	}
	return f.register(ctx, platform.Listed{
		Name: string(i.ID), Kind: platform.KindInstance, Address: i.PeerAddr, Zone: i.Zone, State: platform.StateLive,
	})
}

func (f *Fleet) instanceSpec(i Instance) processSpec {
	var seeds []string
	for _, o := range f.Instances {
		if o.ID != i.ID {
			seeds = append(seeds, o.PeerAddr)
		}
	}
	store, list := f.StoreAddr, f.StoreAddr
	var advertised [][2]string
	if f.network != nil {
		store = f.network.linkAddr(storeName)
		advertised = [][2]string{
			{"advertise-peer", f.network.linkAddr(peerLink(i.ID))},
			{"advertise-forward", f.network.linkAddr(forwardLink(i.ID))},
		}
		for n := range seeds {
			seeds[n] = f.network.relayAddr(seeds[n])
		}
	}
	env := []string{settings.EnvFleetSecret + "=" + fleetSecret, settings.EnvOperatorToken + "=" + OperatorToken}
	for _, s := range append(advertised, [][2]string{
		{"instance", string(i.ID)},
		{"zone", string(i.Zone)},
		{"caller-listen", i.CallerAddr},
		{"peer-listen", i.PeerAddr},
		{"forward-listen", i.ForwardAddr},
		{"operator-listen", i.OperatorAddr},
		{"store", store},
		{"list", list},
		{"seeds", strings.Join(seeds, ",")},
	}...) {
		env = append(env, settings.Env(s[0])+"="+s[1])
	}
	return processSpec{name: string(i.ID), path: f.Binaries.Proxy, args: []string{"serve"}, env: env}
}

func (f *Fleet) baselineSpec(i Instance) processSpec {
	return processSpec{name: string(i.ID), path: f.Binaries.Standin, args: []string{
		"baseline", "--name", string(i.ID), "--zone", string(i.Zone), "--listen", i.CallerAddr, "--list", f.StoreAddr,
		"--catalogue", f.catalogueFile(), "--instances", strconv.Itoa(f.Shape.Instances),
	}}
}

func (f *Fleet) catalogueFile() string { return filepath.Join(f.Dir, "catalogue.yaml") }

// writeCatalogue atomically replaces the catalogue file that the instances of a
// baseline read.
func (f *Fleet) writeCatalogue(c *catalogue.Catalogue) error {
	next := f.catalogueFile() + ".next"
	if err := os.WriteFile(next, c.Format(), 0o644); err != nil {
		return err
	}
	return os.Rename(next, f.catalogueFile())
}

// register adds or replaces a process in the platform's instance list.
func (f *Fleet) register(ctx context.Context, l platform.Listed) error {
	var e jx.Encoder
	platform.EncodeListed(&e, l)
	return f.callStore(ctx, &http1.Request{
		Method: http.MethodPut, Target: "/v1/instances", Body: e.Bytes(), Header: http.Header{"Content-Type": {"application/json"}},
	})
}

// deregister removes a process from the platform's instance list.
func (f *Fleet) deregister(ctx context.Context, name string) error {
	if f.StoreAddr == "" || name == storeName {
		return nil
	}
	return f.callStore(ctx, &http1.Request{Method: http.MethodDelete, Target: "/v1/instances?name=" + url.QueryEscape(name)})
}

// StoreFault injects a fault into the store. For the query, see the comment of
// package store.
func (f *Fleet) StoreFault(ctx context.Context, query string) error {
	return f.callStore(ctx, &http1.Request{Method: http.MethodPost, Target: "/faults?" + query})
}

func (f *Fleet) callStore(ctx context.Context, req *http1.Request) error {
	return f.call(ctx, f.StoreAddr, req)
}

// UpstreamFault injects a fault into an upstream. The query holds the mode and the
// times of the fault in the syntax of the upstream's /faults endpoint.
func (f *Fleet) UpstreamFault(ctx context.Context, id fleet.UpstreamID, query string) error {
	for _, u := range f.Upstreams {
		if u.ID == id {
			return f.call(ctx, u.Addr, &http1.Request{Method: http.MethodPost, Target: "/faults?" + query})
		}
	}
	return errors.Errorf("no upstream %q", id)
}

func (f *Fleet) call(ctx context.Context, addr string, req *http1.Request) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	pool := f.client.NewPool(addr, http1.PoolConfig{})
	defer pool.Close()
	res, err := pool.Do(ctx, req)
	if err != nil {
		return errors.Wrapf(err, "%s %s", req.Method, req.Target)
	}
	if res.Status >= http.StatusBadRequest {
		return errors.Errorf("%s %s: status %d: %s", req.Method, req.Target, res.Status, res.Body)
	}
	return nil
}

// pollUntil calls check periodically until it returns nil. If that takes longer than
// limit, pollUntil returns the last error from check.
func pollUntil(ctx context.Context, limit time.Duration, condition string, check func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	lastErr := errors.New("the condition was not checked")
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(lastErr, "wait until %s (%v)", condition, ctx.Err())
		case <-tick.C:
		}
	}
}

// configure stores the catalogue of a router fleet and waits until it is in force.
func (f *Fleet) configure(ctx context.Context) error {
	if f.Kind != Router {
		return nil
	}
	if _, err := f.EditCatalogue(ctx, func(c *catalogue.Catalogue) {
		*c = *f.Shape.Catalogue(f.Rate, f.fencing())
	}); err != nil {
		return errors.Wrap(err, "apply the catalogue")
	}
	return nil
}

// EditCatalogue changes the catalogue through the operator API of the first instance
// that answers, and returns the time at which the change was in force.
func (f *Fleet) EditCatalogue(ctx context.Context, change func(c *catalogue.Catalogue)) (time.Time, error) {
	var at time.Time
	attempts := 0
	err := pollUntil(ctx, readyTimeout, "the catalogue change is in force", func(ctx context.Context) error {
		c := f.OperatorClient(f.Instances[attempts%len(f.Instances)])
		defer c.Close()
		attempts++
		cat, base, err := c.Catalogue(ctx)
		if err != nil {
			return err
		}
		change(cat)
		rev, err := c.Apply(ctx, base, cat, operatorName)
		if err != nil {
			return err
		}
		p, err := operator.WaitInForce(ctx, c, rev, pollInterval)
		if err == nil && !p.InForce {
			err = errors.Errorf("catalogue revision %d is not in force: %d of %d instances have learned it", rev, p.Learned, p.Members)
		}
		at = time.Now()
		if !p.Since.IsZero() {
			at = p.Since
		}
		return err
	})
	return at, err
}

// ZoneOut takes a zone out of service, waits until the change is in force, and
// records an event with that time.
func (f *Fleet) ZoneOut(ctx context.Context, zone fleet.ZoneID) error {
	at, err := f.editCatalogue(ctx, func(c *catalogue.Catalogue) {
		if _, out := c.Out(catalogue.OutageZone, string(zone)); !out {
			c.OutOfService = append(c.OutOfService, catalogue.Outage{
				Kind: catalogue.OutageZone, Name: string(zone), By: operatorName, At: time.Now().UTC().Truncate(time.Millisecond),
			})
		}
	})
	if err == nil {
		f.recordEvent(report.Event{At: at, Kind: report.ZoneOut, Name: string(zone)})
	}
	return err
}

// ZoneIn puts a zone back into service and records an event with the time of the
// order.
func (f *Fleet) ZoneIn(ctx context.Context, zone fleet.ZoneID) error {
	f.recordEvent(report.Event{At: time.Now(), Kind: report.ZoneIn, Name: string(zone)})
	_, err := f.editCatalogue(ctx, func(c *catalogue.Catalogue) {
		var rest []catalogue.Outage
		for _, o := range c.OutOfService {
			if o.Kind != catalogue.OutageZone || o.Name != string(zone) {
				rest = append(rest, o)
			}
		}
		c.OutOfService = rest
	})
	return err
}

// editCatalogue changes the catalogue: through the operator API for a router, in the
// catalogue file for a baseline. It returns the time of the change.
func (f *Fleet) editCatalogue(ctx context.Context, change func(c *catalogue.Catalogue)) (time.Time, error) {
	if f.Kind == Router {
		return f.EditCatalogue(ctx, change)
	}
	data, err := os.ReadFile(f.catalogueFile())
	if err != nil {
		return time.Time{}, err
	}
	c, err := catalogue.Parse(f.catalogueFile(), data)
	if err != nil {
		return time.Time{}, err
	}
	change(c)
	return time.Now(), f.writeCatalogue(c)
}

// waitReady waits until every instance knows all members and upstreams, is ready, and
// serves requests: the first instance for several keys of every service, the others
// for one key. It sends one request at a time, because the upstreams are still cold.
func (f *Fleet) waitReady(ctx context.Context) error {
	for n, i := range f.Instances {
		services, keys := f.Shape.Services[:1], 1
		if n == 0 {
			services, keys = f.Shape.Services, probeKeysPerService
		}
		if f.Kind == Router {
			err := pollUntil(ctx, readyTimeout, string(i.ID)+" knows all instances and upstreams", func(ctx context.Context) error { return f.checkMembership(ctx, i) })
			if err != nil {
				return err
			}
		}
		pool := f.client.NewPool(i.CallerAddr, http1.PoolConfig{})
		err := pollUntil(ctx, readyTimeout, string(i.ID)+" is ready", func(ctx context.Context) error {
			if f.Process(string(i.ID)).exited() {
				return errors.Errorf("%s has exited; see its log", i.ID)
			}
			if !load.Ready(ctx, pool) {
				return errors.New("the readiness check failed")
			}
			return nil
		})
		if err == nil {
			err = pollUntil(ctx, readyTimeout, "keys are served through "+string(i.ID), func(ctx context.Context) error { return f.requestKeys(ctx, pool, services, keys) })
		}
		pool.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// checkMembership returns an error if an instance does not know all instances and
// upstreams yet, or if an upstream is not live or has no dispatcher.
func (f *Fleet) checkMembership(ctx context.Context, i Instance) error {
	c := f.OperatorClient(i)
	defer c.Close()
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if len(s.Members) != len(f.Instances) || len(s.Upstreams) != len(f.Upstreams) {
		return errors.Errorf("the instance knows %d of %d instances and %d of %d upstreams",
			len(s.Members), len(f.Instances), len(s.Upstreams), len(f.Upstreams))
	}
	for _, u := range s.Upstreams {
		if u.State != "live" || u.Dispatcher == "" {
			return errors.Errorf("upstream %s is %s and has dispatcher %q", u.ID, u.State, u.Dispatcher)
		}
	}
	return nil
}

// probeKeysPerService is the number of keys of each service that waitReady requests
// through the first instance.
const probeKeysPerService = 4

func (f *Fleet) requestKeys(ctx context.Context, pool *http1.Pool, services []Service, keys int) error {
	for _, s := range services {
		for k := range keys {
			h := http.Header{"Authorization": {"Bearer " + string(CallerKey(f.Shape.Accounts[0].ID))}}
			h.Set(fleet.HeaderDeadline, "1000")
			res, err := pool.Do(ctx, &http1.Request{Method: http.MethodGet, Target: s.Prefix() + "k" + strconv.Itoa(k), Header: h})
			if err != nil {
				return err
			}
			if res.Status != http.StatusOK {
				return errors.Errorf("key %d of %s: status %d: %s", k, s.ID, res.Status, res.Body)
			}
		}
	}
	return nil
}
