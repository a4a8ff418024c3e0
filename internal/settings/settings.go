// Package settings reads the settings of an instance from flags and environment
// variables and validates all of them before the instance starts.
//
// The flags are declared as strings and decoded here, because the flag library stops
// at the first value that it cannot decode, whereas this package reports all errors at
// once. Secrets are read from a file or an environment variable, never from a flag,
// because command lines are visible to other users of a machine.
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Serve holds the settings of an instance.
type Serve struct {
	Instance fleet.InstanceID
	Zone     fleet.ZoneID

	// The addresses have the form "IP:port".
	CallerListen     string
	PeerListen       string   // jsonrpc2 between instances
	ForwardListen    string   // HTTP between instances
	OperatorListen   string   // operator API, metrics and health
	AdvertisePeer    string   // address at which other instances reach PeerListen
	AdvertiseForward string   // address at which other instances reach ForwardListen
	Store            string   // the platform's key-value store
	List             string   // the platform's instance list
	Seeds            []string // peer addresses of other instances, used at start while the store is unavailable

	FleetSecret   Secret
	OperatorToken Secret

	LogLevel  hclog.Level
	LogFormat LogFormat

	// AuthorityTTL is how long the instance may act without contact to the store or a
	// majority. It must be the same on all instances.
	AuthorityTTL    time.Duration
	Limits          Limits
	ShutdownTimeout time.Duration // how long a shutdown waits for requests in flight
}

// Limits holds the limits for callers' requests and connections.
type Limits struct {
	MaxBody     int           // bytes
	MaxHeader   int           // bytes of all header fields together
	MaxConns    int           // open connections
	ReadTimeout time.Duration // from one response to the end of the next request
}

// LogFormat is the format of log lines.
type LogFormat string

// Values of LogFormat.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// Secret is a string that package fmt prints as a placeholder.
type Secret string

// String returns a placeholder instead of the secret.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder instead of the secret, for the format %#v.
func (Secret) GoString() string { return "[secret]" }

// Environment variables that hold secrets. No flag sets a secret itself.
const (
	EnvFleetSecret   = "PARSLEY_FLEET_SECRET"
	EnvOperatorToken = "PARSLEY_OPERATOR_TOKEN"
)

// FieldError reports an invalid or missing setting.
type FieldError struct {
	Flag    string // flag with its dashes, or name of an environment variable
	Value   string // value as given; empty if missing; a placeholder for secrets
	Allowed string // description of the allowed values
}

func (e *FieldError) Error() string {
	return e.Flag + " " + quote(e.Value) + ": want " + e.Allowed
}

func quote(v string) string {
	if v == "" {
		return "(empty)"
	}
	return `"` + v + `"`
}

// Errors holds the errors of all settings.
type Errors []*FieldError

// Error returns one line per FieldError.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Env returns the name of the environment variable for a flag.
func Env(flag string) string {
	return "PARSLEY_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Flags returns the flags that FromCommand reads.
func Flags() []cli.Flag {
	out := make([]cli.Flag, 0, len(flagSpecs)+1)
	for _, s := range flagSpecs {
		out = append(out, &cli.StringFlag{
			Name: s.name, Value: s.defaultValue, Usage: s.usage, Category: s.category,
			Sources: cli.EnvVars(Env(s.name)), TakesFile: strings.HasSuffix(s.name, "-file"),
		})
	}
	return append(out, &cli.BoolFlag{
		Name: "check", Usage: "check the settings and exit", Sources: cli.EnvVars(Env("check")),
	})
}

// FromCommand loads the settings from cmd, whose flags must be those of Flags, and
// from the environment. The error is of type Errors.
func FromCommand(cmd *cli.Command) (Serve, error) {
	return Load(Sources{Flag: cmd.String, Env: os.Getenv, ReadFile: os.ReadFile})
}

// Sources holds the functions by which Load reads flags, environment variables and
// files. For a value that is not set, Flag returns the default of the flag, and Env an
// empty string.
type Sources struct {
	Flag     func(name string) string
	Env      func(name string) string
	ReadFile func(name string) ([]byte, error)
}

// Load decodes and checks all settings. The error is of type Errors.
func Load(src Sources) (Serve, error) {
	l := &loader{sources: src}
	for _, s := range flagSpecs {
		s.decode(l, s.name, src.Flag(s.name))
	}
	l.loadSecret(&l.settings.FleetSecret, "fleet-secret-file", EnvFleetSecret, minFleetSecretLength)
	l.loadSecret(&l.settings.OperatorToken, "operator-token-file", EnvOperatorToken, minOperatorTokenLength)
	l.checkCombinations()
	if len(l.errs) > 0 {
		return Serve{}, l.errs
	}
	return l.settings, nil
}
