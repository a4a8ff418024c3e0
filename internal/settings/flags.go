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

// Limits of the values of settings.
const (
	minFleetSecretLength   = 32   // bytes; the output size of HMAC-SHA-256, for which it is the key
	minOperatorTokenLength = 16   // bytes
	maxSecretLength        = 4096 // bytes
	maxSeeds               = 64

	// The TTL must be longer than two polls at an interval of 200 ms plus a lost
	// response. With a TTL above 5 s a withdrawn caller key would remain valid for
	// longer than a few seconds.
	minAuthorityTTL = 500 * time.Millisecond
	maxAuthorityTTL = 5 * time.Second

	minBody, maxBody     = 1 << 10, 256 << 20 // bytes
	minHeader, maxHeader = 1 << 10, 1 << 20   // bytes
	minConns, maxConns   = 1, 1_000_000

	minReadTimeout, maxReadTimeout         = 100 * time.Millisecond, time.Hour
	minShutdownTimeout, maxShutdownTimeout = time.Second, time.Hour
)

// Categories under which the help lists the flags.
const (
	categoryIdentity  = "Identity"
	categoryAddresses = "Addresses"
	categorySecrets   = "Secrets"
	categoryLogging   = "Logging"
	categoryTiming    = "Timing"
	categoryRequests  = "Limits of requests"
)

// flagSpec describes a flag. decode checks the flag's value and stores it in the
// loader's settings.
type flagSpec struct {
	name, defaultValue, usage, category string
	decode                              func(l *loader, name, value string)
}

var flagSpecs = []flagSpec{
	{"instance", "", "id of this instance, unique in the fleet", categoryIdentity, func(l *loader, name, v string) {
		decodeID(l, &l.settings.Instance, name, v)
	}},
	{"zone", "", "availability zone of this instance", categoryIdentity, func(l *loader, name, v string) {
		decodeID(l, &l.settings.Zone, name, v)
	}},
	{"caller-listen", "0.0.0.0:8080", "`IP:port` for callers", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.CallerListen, name, v, listenAddress)
	}},
	{"peer-listen", "0.0.0.0:8081", "`IP:port` for jsonrpc2 between instances", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.PeerListen, name, v, listenAddress)
	}},
	{"forward-listen", "0.0.0.0:8082", "`IP:port` for HTTP between instances", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.ForwardListen, name, v, listenAddress)
	}},
	{"operator-listen", "127.0.0.1:8083", "`IP:port` for the operator API, metrics and health", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.OperatorListen, name, v, listenAddress)
	}},
	{"advertise-peer", "", "`IP:port` at which other instances reach --peer-listen (default: --peer-listen, if its IP is not unspecified)", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.AdvertisePeer, name, v, optionalRemoteAddress)
	}},
	{"advertise-forward", "", "`IP:port` at which other instances reach --forward-listen (default: --forward-listen, if its IP is not unspecified)", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.AdvertiseForward, name, v, optionalRemoteAddress)
	}},
	{"store", "", "`IP:port` of the platform's key-value store", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.Store, name, v, remoteAddress)
	}},
	{"list", "", "`IP:port` of the platform's instance list", categoryAddresses, func(l *loader, name, v string) {
		l.decodeAddress(&l.settings.List, name, v, remoteAddress)
	}},
	{"seeds", "", "peer addresses of other instances, separated by commas, to start from while the store is down", categoryAddresses, (*loader).decodeSeeds},
	{"fleet-secret-file", "", "`file` with the secret shared by all instances, 32 bytes or more; instead of " + EnvFleetSecret, categorySecrets, skipSecretFile},
	{"operator-token-file", "", "`file` with the bearer token of operators, 16 bytes or more; instead of " + EnvOperatorToken, categorySecrets, skipSecretFile},
	{"log-level", "info", "lowest level that is logged: trace, debug, info, warn or error", categoryLogging, (*loader).decodeLogLevel},
	{"log-format", "json", "form of log lines: json or text", categoryLogging, (*loader).decodeLogFormat},
	{"authority-ttl", "1s", "how long an instance may act without contact to the store or a majority, as a duration; the same on every instance", categoryTiming, func(l *loader, name, v string) {
		l.decodeDuration(&l.settings.AuthorityTTL, name, v, minAuthorityTTL, maxAuthorityTTL)
	}},
	{"shutdown-timeout", "30s", "how long a shutdown waits for requests in flight, as a duration", categoryTiming, func(l *loader, name, v string) {
		l.decodeDuration(&l.settings.ShutdownTimeout, name, v, minShutdownTimeout, maxShutdownTimeout)
	}},
	{"max-body", "4MiB", "largest request body in bytes, or with KiB or MiB", categoryRequests, func(l *loader, name, v string) {
		l.decodeBytes(&l.settings.Limits.MaxBody, name, v, minBody, maxBody)
	}},
	{"max-header", "64KiB", "largest sum of a request's header fields in bytes, or with KiB or MiB", categoryRequests, func(l *loader, name, v string) {
		l.decodeBytes(&l.settings.Limits.MaxHeader, name, v, minHeader, maxHeader)
	}},
	{"max-conns", "20000", "largest number of open connections of callers", categoryRequests, (*loader).decodeMaxConns},
	{"read-timeout", "60s", "longest time from one response to the end of the next request on a connection, as a duration", categoryRequests, func(l *loader, name, v string) {
		l.decodeDuration(&l.settings.Limits.ReadTimeout, name, v, minReadTimeout, maxReadTimeout)
	}},
}

// skipSecretFile is the decode function of the flags that name secret files. Load reads
// these files after it has decoded all flags.
func skipSecretFile(*loader, string, string) {}

// loader decodes settings and collects the errors of all of them.
type loader struct {
	sources  Sources
	settings Serve
	errs     Errors
}

func (l *loader) addError(flag, value, format string, args ...any) {
	l.errs = append(l.errs, &FieldError{Flag: "--" + flag, Value: value, Allowed: fmt.Sprintf(format, args...)})
}

func (l *loader) addEnvError(env, format string, args ...any) {
	l.errs = append(l.errs, &FieldError{Flag: env, Value: "[secret]", Allowed: fmt.Sprintf(format, args...)})
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func decodeID[T ~string](l *loader, out *T, name, v string) {
	if !idPattern.MatchString(v) {
		l.addError(name, v, "1 to 64 letters, digits, dots, underscores or dashes, the first a letter or digit")
		return
	}
	*out = T(v)
}

// addressUse is the purpose of an address, which determines the allowed values.
type addressUse int

const (
	listenAddress         addressUse = iota // may be unspecified; port 0 selects a free port
	remoteAddress                           // needs an IP address and a port that can be connected to
	optionalRemoteAddress                   // remoteAddress, or empty
)

func (l *loader) decodeAddress(out *string, name, v string, u addressUse) {
	if v == "" && u == optionalRemoteAddress {
		return
	}
	if allowed := checkAddress(v, u); allowed != "" {
		l.addError(name, v, "%s", allowed)
		return
	}
	*out = v
}

// checkAddress returns an empty string if v is allowed for use u, and a description of
// the allowed values otherwise.
func checkAddress(v string, u addressUse) string {
	ap, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		return "an IP address and a port, such as 10.0.0.7:8081 or [fd00::7]:8081; host names are not resolved"
	case u == listenAddress:
		return ""
	case ap.Addr().IsUnspecified():
		return "an IP address that others can reach, not " + ap.Addr().String()
	case ap.Port() == 0:
		return "a port from 1 to 65535"
	}
	return ""
}

func (l *loader) decodeSeeds(name, v string) {
	if v == "" {
		return
	}
	parts := strings.Split(v, ",")
	if len(parts) > maxSeeds {
		l.addError(name, v, "at most %d addresses", maxSeeds)
		return
	}
	for _, p := range parts {
		p = strings.TrimSpace(p)
		if allowed := checkAddress(p, remoteAddress); allowed != "" {
			l.addError(name, p, "%s", allowed)
			continue
		}
		l.settings.Seeds = append(l.settings.Seeds, p)
	}
}

func (l *loader) decodeLogLevel(name, v string) {
	level := hclog.LevelFromString(v)
	if level == hclog.NoLevel || level == hclog.Off {
		l.addError(name, v, "trace, debug, info, warn or error")
		return
	}
	l.settings.LogLevel = level
}

func (l *loader) decodeLogFormat(name, v string) {
	f := LogFormat(v)
	if f != LogJSON && f != LogText {
		l.addError(name, v, "json or text")
		return
	}
	l.settings.LogFormat = f
}

func (l *loader) decodeDuration(out *time.Duration, name, v string, lo, hi time.Duration) {
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		l.addError(name, v, "a duration with its unit, from %s to %s", lo, hi)
		return
	}
	*out = d
}

func (l *loader) decodeBytes(out *int, name, v string, lo, hi int) {
	digits, unit := v, 1
	if s, ok := strings.CutSuffix(v, "KiB"); ok {
		digits, unit = s, 1<<10
	} else if s, ok := strings.CutSuffix(v, "MiB"); ok {
		digits, unit = s, 1<<20
	}
	n, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || n < 0 || n > hi/unit || n*unit < lo {
		l.addError(name, v, "bytes from %d to %d, plain or with KiB or MiB, such as 4MiB", lo, hi)
		return
	}
	*out = n * unit
}

func (l *loader) decodeMaxConns(name, v string) {
	n, err := strconv.Atoi(v)
	if err != nil || n < minConns || n > maxConns {
		l.addError(name, v, "a whole number from %d to %d", minConns, maxConns)
		return
	}
	l.settings.Limits.MaxConns = n
}

// loadSecret reads a secret from its file or its environment variable. Errors never
// contain the secret.
func (l *loader) loadSecret(out *Secret, flag, env string, minLength int) {
	file, text := l.sources.Flag(flag), l.sources.Env(env)
	switch {
	case file != "" && text != "":
		l.addError(flag, file, "either this file or %s, not both", env)
		return
	case file == "" && text == "":
		l.addError(flag, "", "a file with the secret, or the secret in %s", env)
		return
	}
	if file != "" {
		data, err := l.sources.ReadFile(file)
		if err != nil {
			l.addError(flag, file, "a readable file: %v", err)
			return
		}
		text = string(bytes.TrimRight(data, "\r\n"))
	}
	if len(text) < minLength || len(text) > maxSecretLength || strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		const allowed = "%d to %d printable ASCII characters without spaces, found %d bytes"
		if file != "" {
			l.addError(flag, file, "a file with "+allowed, minLength, maxSecretLength, len(text))
		} else {
			l.addEnvError(env, allowed, minLength, maxSecretLength, len(text))
		}
		return
	}
	*out = Secret(text)
}

// checkCombinations sets the defaults that derive from other settings and checks
// settings against each other.
func (l *loader) checkCombinations() {
	l.applyAdvertiseDefault(&l.settings.AdvertisePeer, "advertise-peer", "peer-listen", l.settings.PeerListen)
	l.applyAdvertiseDefault(&l.settings.AdvertiseForward, "advertise-forward", "forward-listen", l.settings.ForwardListen)
	l.checkDistinctListeners()
	if l.settings.FleetSecret != "" && l.settings.FleetSecret == l.settings.OperatorToken {
		l.addError("operator-token-file", "[secret]", "a token that differs from the fleet secret")
	}
}

// applyAdvertiseDefault uses the listen address as the advertised address if none was
// given. It reports an error if the listen address has no IP address or port that other
// instances can connect to.
func (l *loader) applyAdvertiseDefault(out *string, name, listenName, listen string) {
	if *out != "" || listen == "" || l.sources.Flag(name) != "" {
		return
	}
	if checkAddress(listen, remoteAddress) != "" {
		l.addError(name, "", "an IP address and a port that others can reach, because --%s %q has none", listenName, listen)
		return
	}
	*out = listen
}

// checkDistinctListeners reports an error if two listeners use the same IP address and
// port.
func (l *loader) checkDistinctListeners() {
	listeners := []struct{ name, addr string }{
		{"caller-listen", l.settings.CallerListen},
		{"peer-listen", l.settings.PeerListen},
		{"forward-listen", l.settings.ForwardListen},
		{"operator-listen", l.settings.OperatorListen},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if overlap(a.addr, b.addr) {
				l.addError(a.name, a.addr, "an address other than --%s %q", b.name, b.addr)
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
