package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Bounds of settings.
const (
	minFleetSecret   = 32 // bytes: as many as the HMAC-SHA-256 that it keys
	minOperatorToken = 16
	maxSecret        = 4096
	maxSeeds         = 64

	// The TTL must outlast two polls at 200 ms and a lost response. Above 5 s a
	// withdrawn caller key would work for longer than a few seconds.
	minAuthorityTTL = 500 * time.Millisecond
	maxAuthorityTTL = 5 * time.Second

	minBody, maxBody     = 1 << 10, 256 << 20
	minHeader, maxHeader = 1 << 10, 1 << 20
	minConns, maxConns   = 1, 1_000_000

	minReadTimeout, maxReadTimeout         = 100 * time.Millisecond, time.Hour
	minShutdownTimeout, maxShutdownTimeout = time.Second, time.Hour
)

// Categories of flags in the help.
const (
	identity  = "Identity"
	addresses = "Addresses"
	secrets   = "Secrets"
	logging   = "Logging"
	timing    = "Timing"
	requests  = "Limits of requests"
)

// spec is one flag.
type spec struct {
	name, def, usage, category string
	decode                     func(l *loader, name, value string)
}

var specs = []spec{
	{"instance", "", "id of this instance, unique in the fleet", identity, func(l *loader, name, v string) {
		decodeID(l, &l.out.Instance, name, v)
	}},
	{"zone", "", "availability zone of this instance", identity, func(l *loader, name, v string) {
		decodeID(l, &l.out.Zone, name, v)
	}},
	{"caller-listen", "0.0.0.0:8080", "`IP:port` for callers", addresses, func(l *loader, name, v string) {
		l.address(&l.out.CallerListen, name, v, listening)
	}},
	{"peer-listen", "0.0.0.0:8081", "`IP:port` for jsonrpc2 between instances", addresses, func(l *loader, name, v string) {
		l.address(&l.out.PeerListen, name, v, listening)
	}},
	{"forward-listen", "0.0.0.0:8082", "`IP:port` for HTTP between instances", addresses, func(l *loader, name, v string) {
		l.address(&l.out.ForwardListen, name, v, listening)
	}},
	{"operator-listen", "127.0.0.1:8083", "`IP:port` for the operator API, metrics and health", addresses, func(l *loader, name, v string) {
		l.address(&l.out.OperatorListen, name, v, listening)
	}},
	{"advertise-peer", "", "`IP:port` at which other instances reach --peer-listen (default: --peer-listen, if its IP is not unspecified)", addresses, func(l *loader, name, v string) {
		l.address(&l.out.AdvertisePeer, name, v, optional)
	}},
	{"advertise-forward", "", "`IP:port` at which other instances reach --forward-listen (default: --forward-listen, if its IP is not unspecified)", addresses, func(l *loader, name, v string) {
		l.address(&l.out.AdvertiseForward, name, v, optional)
	}},
	{"store", "", "`IP:port` of the platform's key-value store", addresses, func(l *loader, name, v string) {
		l.address(&l.out.Store, name, v, remote)
	}},
	{"list", "", "`IP:port` of the platform's instance list", addresses, func(l *loader, name, v string) {
		l.address(&l.out.List, name, v, remote)
	}},
	{"seeds", "", "peer addresses of other instances, separated by commas, to start from while the store is down", addresses, (*loader).seeds},
	{"fleet-secret-file", "", "`file` with the secret shared by all instances, 32 bytes or more; instead of " + EnvFleetSecret, secrets, ignore},
	{"operator-token-file", "", "`file` with the bearer token of operators, 16 bytes or more; instead of " + EnvOperatorToken, secrets, ignore},
	{"log-level", "info", "lowest level that is logged: trace, debug, info, warn or error", logging, (*loader).logLevel},
	{"log-format", "json", "form of log lines: json or text", logging, (*loader).logFormat},
	{"authority-ttl", "1s", "how long an instance may act without contact to the store or a majority, as a duration; the same on every instance", timing, func(l *loader, name, v string) {
		l.duration(&l.out.AuthorityTTL, name, v, minAuthorityTTL, maxAuthorityTTL)
	}},
	{"shutdown-timeout", "30s", "how long a shutdown waits for requests in flight, as a duration", timing, func(l *loader, name, v string) {
		l.duration(&l.out.ShutdownTimeout, name, v, minShutdownTimeout, maxShutdownTimeout)
	}},
	{"max-body", "4MiB", "largest request body in bytes, or with KiB or MiB", requests, func(l *loader, name, v string) {
		l.bytes(&l.out.Limits.MaxBody, name, v, minBody, maxBody)
	}},
	{"max-header", "64KiB", "largest sum of a request's header fields in bytes, or with KiB or MiB", requests, func(l *loader, name, v string) {
		l.bytes(&l.out.Limits.MaxHeader, name, v, minHeader, maxHeader)
	}},
	{"max-conns", "20000", "largest number of open connections of callers", requests, (*loader).conns},
	{"read-timeout", "60s", "longest time from one response to the end of the next request on a connection, as a duration", requests, func(l *loader, name, v string) {
		l.duration(&l.out.Limits.ReadTimeout, name, v, minReadTimeout, maxReadTimeout)
	}},
}

// ignore is for the files of secrets, which are read after all flags.
func ignore(*loader, string, string) {}

type loader struct {
	src  Sources
	out  Serve
	errs Errors
}

func (l *loader) fail(flag, value, format string, args ...any) {
	l.errs = append(l.errs, &FieldError{Flag: "--" + flag, Value: value, Allowed: fmt.Sprintf(format, args...)})
}

func (l *loader) failEnv(env, format string, args ...any) {
	l.errs = append(l.errs, &FieldError{Flag: env, Value: "[secret]", Allowed: fmt.Sprintf(format, args...)})
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func decodeID[T ~string](l *loader, out *T, name, v string) {
	if !idPattern.MatchString(v) {
		l.fail(name, v, "1 to 64 letters, digits, dots, underscores or dashes, the first a letter or digit")
		return
	}
	*out = T(v)
}

// use says what an address is for.
type use int

const (
	listening use = iota // port 0 picks a free port
	remote
	optional // remote, or empty
)

func (l *loader) address(out *string, name, v string, u use) {
	if v == "" && u == optional {
		return
	}
	if allowed := checkAddress(v, u); allowed != "" {
		l.fail(name, v, "%s", allowed)
		return
	}
	*out = v
}

// checkAddress returns what is allowed if v is not.
func checkAddress(v string, u use) string {
	ap, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		return "an IP address and a port, such as 10.0.0.7:8081 or [fd00::7]:8081; host names are not resolved"
	case u == listening:
		return ""
	case ap.Addr().IsUnspecified():
		return "an IP address that others can reach, not " + ap.Addr().String()
	case ap.Port() == 0:
		return "a port from 1 to 65535"
	}
	return ""
}

func (l *loader) seeds(name, v string) {
	if v == "" {
		return
	}
	parts := strings.Split(v, ",")
	if len(parts) > maxSeeds {
		l.fail(name, v, "at most %d addresses", maxSeeds)
		return
	}
	for _, p := range parts {
		p = strings.TrimSpace(p)
		if allowed := checkAddress(p, remote); allowed != "" {
			l.fail(name, p, "%s", allowed)
			continue
		}
		l.out.Seeds = append(l.out.Seeds, p)
	}
}

func (l *loader) logLevel(name, v string) {
	level := hclog.LevelFromString(v)
	if level == hclog.NoLevel || level == hclog.Off {
		l.fail(name, v, "trace, debug, info, warn or error")
		return
	}
	l.out.LogLevel = level
}

func (l *loader) logFormat(name, v string) {
	f := LogFormat(v)
	if f != LogJSON && f != LogText {
		l.fail(name, v, "json or text")
		return
	}
	l.out.LogFormat = f
}

func (l *loader) duration(out *time.Duration, name, v string, lo, hi time.Duration) {
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		l.fail(name, v, "a duration with its unit, from %s to %s", lo, hi)
		return
	}
	*out = d
}

func (l *loader) bytes(out *int, name, v string, lo, hi int) {
	digits, unit := v, 1
	if s, ok := strings.CutSuffix(v, "KiB"); ok {
		digits, unit = s, 1<<10
	} else if s, ok := strings.CutSuffix(v, "MiB"); ok {
		digits, unit = s, 1<<20
	}
	n, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || n < 0 || n > hi/unit || n*unit < lo {
		l.fail(name, v, "bytes from %d to %d, plain or with KiB or MiB, such as 4MiB", lo, hi)
		return
	}
	*out = n * unit
}

func (l *loader) conns(name, v string) {
	n, err := strconv.Atoi(v)
	if err != nil || n < minConns || n > maxConns {
		l.fail(name, v, "a whole number from %d to %d", minConns, maxConns)
		return
	}
	l.out.Limits.MaxConns = n
}

// secret reads a secret from its file or its environment variable. Errors never
// contain it.
func (l *loader) secret(out *Secret, flag, env string, atLeast int) {
	file, text := l.src.Flag(flag), l.src.Env(env)
	switch {
	case file != "" && text != "":
		l.fail(flag, file, "either this file or %s, not both", env)
		return
	case file == "" && text == "":
		l.fail(flag, "", "a file with the secret, or the secret in %s", env)
		return
	}
	if file != "" {
		data, err := l.src.ReadFile(file)
		if err != nil {
			l.fail(flag, file, "a readable file: %v", err)
			return
		}
		text = string(bytes.TrimRight(data, "\r\n"))
	}
	if len(text) < atLeast || len(text) > maxSecret || strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		const allowed = "%d to %d printable ASCII characters without spaces, found %d bytes"
		if file != "" {
			l.fail(flag, file, "a file with "+allowed, atLeast, maxSecret, len(text))
		} else {
			l.failEnv(env, allowed, atLeast, maxSecret, len(text))
		}
		return
	}
	*out = Secret(text)
}

// checkTogether checks settings that depend on each other.
func (l *loader) checkTogether() {
	l.advertise(&l.out.AdvertisePeer, "advertise-peer", "peer-listen", l.out.PeerListen)
	l.advertise(&l.out.AdvertiseForward, "advertise-forward", "forward-listen", l.out.ForwardListen)
	l.distinct()
	if l.out.FleetSecret != "" && l.out.FleetSecret == l.out.OperatorToken {
		l.fail("operator-token-file", "[secret]", "a token that differs from the fleet secret")
	}
}

// advertise derives an advertised address from the listening one.
func (l *loader) advertise(out *string, name, listenName, listen string) {
	if *out != "" || listen == "" || l.src.Flag(name) != "" {
		return
	}
	if checkAddress(listen, remote) != "" {
		l.fail(name, "", "an IP address and a port that others can reach, because --%s %q has none", listenName, listen)
		return
	}
	*out = listen
}

// distinct refuses two listeners on one port of one address.
func (l *loader) distinct() {
	listeners := []struct{ name, addr string }{
		{"caller-listen", l.out.CallerListen},
		{"peer-listen", l.out.PeerListen},
		{"forward-listen", l.out.ForwardListen},
		{"operator-listen", l.out.OperatorListen},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if overlap(a.addr, b.addr) {
				l.fail(a.name, a.addr, "an address other than --%s %q", b.name, b.addr)
			}
		}
	}
}

func overlap(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil || x.Port() != y.Port() || x.Port() == 0 {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}
