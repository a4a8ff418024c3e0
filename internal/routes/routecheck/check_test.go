package routecheck

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func hashes(keys ...fleet.CallerKey) []fleet.CallerKeyHash {
	var out []fleet.CallerKeyHash
	for _, k := range keys {
		out = append(out, k.Hash())
	}
	return out
}

func shares(list ...any) []routes.TrafficShare {
	var out []routes.TrafficShare
	for i := 0; i < len(list); i += 2 {
		out = append(out, routes.TrafficShare{Service: fleet.ServiceID(list[i].(string)), Weight: list[i+1].(int)})
	}
	return out
}

// validConfig returns a configuration without findings.
func validConfig() *Config {
	route := func(p Path, name, prefix string, kind routes.Kind) Route {
		return Route{p, routes.Route{Name: name, Host: "h", Prefix: prefix, Kind: kind, MaxAttempts: 1, Timeout: time.Second, Target: time.Second, TrafficShares: shares("desk", 1)}}
	}
	return &Config{
		Version: 2, VersionText: "2",
		Limits:   Limits{MaxBody: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		Services: []Service{{"s0", routes.Service{ID: "desk"}}},
		Accounts: []Account{{Path: "a0", Account: routes.Account{ID: "acme"}, Keys: hashes("k1"), Rate: 0.5, Burst: 1}, {Path: "a1", Account: routes.Account{ID: "beta"}, Keys: hashes("k2")}},
		Hosts:    []Host{{"h0", "h"}},
		Routes:   []Route{route("r0", "read", "/read/", routes.Safe{}), route("r1", "book", "/", routes.Unsafe{})},
	}
}

// Guards against faults that are not found or are found at the wrong entry, and against
// findings on values that are just within a bound.
func TestCheck(t *testing.T) {
	for name, tc := range map[string]struct {
		edit func(c *Config, opt *Options)
		want []string
	}{
		"valid":             {func(*Config, *Options) {}, nil},
		"version":           {func(c *Config, _ *Options) { c.Version = 0 }, []string{"error version-missing version"}},
		"same version":      {func(_ *Config, opt *Options) { opt.InForce = validConfig() }, []string{"error version-not-above version"}},
		"newer version":     {func(c *Config, opt *Options) { opt.InForce, c.Version = validConfig(), 3 }, nil},
		"header timeout":    {func(c *Config, _ *Options) { c.Limits.HeaderTimeout++ }, []string{"warning header-above-idle limits"}},
		"no idle timeout":   {func(c *Config, _ *Options) { c.Limits.IdleTimeout = 0 }, nil},
		"enough memory":     {func(_ *Config, opt *Options) { opt.Memory = 4 << 20 }, nil},
		"part of memory":    {func(_ *Config, opt *Options) { opt.Memory = 4<<20 - 1 }, []string{"warning body-above-share limits"}},
		"largest part":      {func(c *Config, opt *Options) { opt.Memory, c.Limits.MaxBody = 1<<30, 96<<20+1 }, []string{"warning body-above-share limits"}},
		"too little memory": {func(_ *Config, opt *Options) { opt.Memory = 1<<20 - 1 }, []string{"error body-above-memory limits"}},
		"service twice":     {func(c *Config, _ *Options) { c.Services = append(c.Services, Service{"s1", c.Services[0].Service}) }, []string{"warning duplicate-service s1"}},
		"unused service":    {func(c *Config, _ *Options) { c.Services = append(c.Services, Service{"s1", routes.Service{ID: "x"}}) }, []string{"warning unused-service s1"}},
		"priorities":        {func(c *Config, _ *Options) { c.Routes[0].Priority = 1 }, []string{"information priorities-differ s0"}},
		"priority of one account": {
			func(c *Config, _ *Options) { c.Accounts[0].HasPriority, c.Accounts[0].Priority = true, 3 },
			[]string{"information priorities-differ s0"},
		},
		"same priority of all accounts": {func(c *Config, _ *Options) {
			c.Routes[0].Priority, c.Accounts[0].HasPriority, c.Accounts[1].HasPriority = 1, true, true
		}, nil},
		"public route": {func(c *Config, _ *Options) {
			c.Routes[0].Priority, c.Routes[0].Public, c.Accounts[0].HasPriority, c.Accounts[1].HasPriority = 1, true, true, true
		}, []string{"information priorities-differ s0"}},
		"no accounts":        {func(c *Config, _ *Options) { c.Accounts = nil }, []string{"warning no-accounts configuration"}},
		"account twice":      {func(c *Config, _ *Options) { c.Accounts[1].ID = "acme" }, []string{"warning duplicate-account a1"}},
		"key of two":         {func(c *Config, _ *Options) { c.Accounts[1].Keys = hashes("k3", "k1") }, []string{"error duplicate-key a1"}},
		"key twice":          {func(c *Config, _ *Options) { c.Accounts[1].Keys = hashes("k3", "k3") }, nil},
		"no keys":            {func(c *Config, _ *Options) { c.Accounts[1].Keys = nil }, []string{"warning no-keys a1"}},
		"negative rate":      {func(c *Config, _ *Options) { c.Accounts[0].Rate = -1 }, []string{"error negative-rate a0"}},
		"burst without rate": {func(c *Config, _ *Options) { c.Accounts[0].Rate = 0 }, []string{"warning burst-without-rate a0"}},
		"burst below 1":      {func(c *Config, _ *Options) { c.Accounts[0].Burst = 0.9 }, []string{"warning burst-below-one a0"}},
		"host twice":         {func(c *Config, _ *Options) { c.Hosts = append(c.Hosts, Host{"h1", "H:80"}) }, []string{"warning duplicate-host h1"}},
		"odd host":           {func(c *Config, _ *Options) { c.Hosts[0].Name = "*.h" }, []string{"error host-never-matches h0"}},
		"name twice":         {func(c *Config, _ *Options) { c.Routes[1].Name = "read" }, []string{"warning duplicate-name r1"}},
		"prefix twice":       {func(c *Config, _ *Options) { c.Routes[1].Prefix, c.Routes[1].Host = "/read/", "H:1" }, []string{"error duplicate-prefix r1"}},
		"prefix elsewhere":   {func(c *Config, _ *Options) { c.Routes[1].Prefix, c.Routes[1].Host = "/read/", "i" }, nil},
		"no prefix":          {func(c *Config, _ *Options) { c.Routes[0].Prefix = "" }, []string{"warning prefix-slash r0"}},
		"no leading slash":   {func(c *Config, _ *Options) { c.Routes[0].Prefix = "read/" }, []string{"error prefix-slash r0"}},
		"no trailing slash":  {func(c *Config, _ *Options) { c.Routes[0].Prefix = "/read" }, []string{"warning prefix-slash r0"}},
		"query in a prefix":  {func(c *Config, _ *Options) { c.Routes[0].Prefix = "/read?a=" }, []string{"error never-matches r0"}},
		"unknown kind":       {func(c *Config, _ *Options) { c.Routes[0].Kind = routes.UnknownKind{Name: "x"} }, []string{"warning unknown-kind r0"}},
		"no kind":            {func(c *Config, _ *Options) { c.Routes[0].Kind = nil }, []string{"warning unknown-kind r0"}},
		"attempts, safe":     {func(c *Config, _ *Options) { c.Routes[0].MaxAttempts = 2 }, nil},
		"attempts, unsafe":   {func(c *Config, _ *Options) { c.Routes[1].MaxAttempts = 2 }, []string{"information attempts-of-run-once r1"}},
		"no timeout":         {func(c *Config, _ *Options) { c.Routes[0].Timeout = 0 }, []string{"error timeout-missing r0"}},
		"target latency":     {func(c *Config, _ *Options) { c.Routes[0].Target++ }, []string{"warning target-above-timeout r0"}},
		"unknown service":    {func(c *Config, _ *Options) { c.Routes[0].TrafficShares = shares("x", 1) }, []string{"error unknown-service r0"}},
		"weight 0":           {func(c *Config, _ *Options) { c.Routes[0].TrafficShares = shares("desk", 0) }, []string{"warning weight-zero r0"}},
	} {
		t.Run(name, func(t *testing.T) {
			c, opt := validConfig(), Options{}
			tc.edit(c, &opt)
			report := Check(c, opt)
			var got []string
			problems := 0
			for _, f := range report.Findings {
				got = append(got, fmt.Sprint(f.Severity, " ", f.Rule, " ", f.Path))
				if f.Severity != Information {
					problems++
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
			if report.Problems() != problems {
				t.Errorf("%d problems, want %d", report.Problems(), problems)
			}
		})
	}
}

// Guards against differences that are missed, are in another order than the entries, or are
// taken from a duplicate that has no effect.
func TestDiff(t *testing.T) {
	inForce, c := validConfig(), validConfig()
	c.Version = 3
	c.Limits.MaxBody++
	c.Accounts = append([]Account{{Path: "a9", Account: routes.Account{ID: "new"}, Keys: hashes("k9")}}, c.Accounts[0])
	c.Accounts[1].Keys = hashes("k3", "k4", "k4")
	c.Routes[0].Host, c.Routes[0].TrafficShares = "H:80", shares("desk", 9, "vault", 1)
	c.Routes[1].Prefix = "/book/"
	c.Routes = append(c.Routes, Route{"r2", routes.Route{Host: "h", Prefix: "/read/"}})
	var got []string
	for _, f := range Check(c, Options{InForce: inForce}).Findings {
		if f.Severity == Difference {
			got = append(got, fmt.Sprint(f.Path, " ", f.Subject, " ", f.Message))
		}
	}
	want := []string{
		`a1 account "beta" removed`,
		`r1 route "book" at "h/" removed`,
		`limits limits max-body: 1048576 -> 1048577`,
		`a9 account "new" added`,
		`a0 account "acme" keys added: 2`,
		`a0 account "acme" keys withdrawn: 1`,
		`r0 route "read" at "h/read/" service: "desk" 1 -> "desk" 9, "vault" 1`,
		`r1 route "book" at "h/book/" added`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
