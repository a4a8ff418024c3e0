// Package settings reads the settings of an instance from flags and environment
// variables and checks them as a whole before anything starts.
//
// Every setting is read as text and decoded here, because the flag library stops
// at the first value that it cannot decode; operators are shown every fault at
// once. Secrets come from a file or an environment variable, never from a flag,
// since command lines are visible to other users of a machine.
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

	// Addresses are "IP:port".
	CallerListen     string
	PeerListen       string // jsonrpc2 between instances
	ForwardListen    string // HTTP between instances
	OperatorListen   string // operator API, metrics and health
	AdvertisePeer    string // where other instances reach PeerListen
	AdvertiseForward string // where other instances reach ForwardListen
	Store            string
	List             string
	Seeds            []string // peer addresses to start from while the store is down

	FleetSecret   Secret
	OperatorToken Secret

	LogLevel  hclog.Level
	LogFormat LogFormat

	AuthorityTTL    time.Duration // must be the same on every instance
	Limits          Limits
	ShutdownTimeout time.Duration
}

// Limits bounds the requests of callers.
type Limits struct {
	MaxBody     int // bytes
	MaxHeader   int // bytes of all header fields together
	MaxConns    int
	ReadTimeout time.Duration // from one response to the end of the next request
}

// LogFormat is the form of log lines.
type LogFormat string

// Values of LogFormat.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// Secret is text that is not printed.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[secret]" }

// Names of environment variables that hold secrets; they have no flag.
const (
	EnvFleetSecret   = "PARSLEY_FLEET_SECRET"
	EnvOperatorToken = "PARSLEY_OPERATOR_TOKEN"
)

// FieldError is a fault of one setting.
type FieldError struct {
	Flag    string // with its dashes, or the name of an environment variable
	Value   string // as it was given; empty for secrets
	Allowed string
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

// Errors holds every fault of the settings.
type Errors []*FieldError

// Error returns one line per fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Env returns the environment variable of a flag.
func Env(flag string) string {
	return "PARSLEY_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Flags returns the flags that FromCommand reads.
func Flags() []cli.Flag {
	out := make([]cli.Flag, 0, len(specs)+1)
	for _, s := range specs {
		out = append(out, &cli.StringFlag{
			Name: s.name, Value: s.def, Usage: s.usage, Category: s.category,
			Sources: cli.EnvVars(Env(s.name)), TakesFile: strings.HasSuffix(s.name, "-file"),
		})
	}
	return append(out, &cli.BoolFlag{
		Name: "check", Usage: "check the settings and exit", Sources: cli.EnvVars(Env("check")),
	})
}

// FromCommand returns the settings given to cmd, whose flags are Flags. The error
// is an Errors.
func FromCommand(cmd *cli.Command) (Serve, error) {
	return Load(Sources{Flag: cmd.String, Env: os.Getenv, ReadFile: os.ReadFile})
}

// Sources is where Load finds values.
type Sources struct {
	Flag     func(name string) string
	Env      func(name string) string
	ReadFile func(name string) ([]byte, error)
}

// Load decodes and checks all settings. The error is an Errors.
func Load(src Sources) (Serve, error) {
	l := &loader{src: src}
	for _, s := range specs {
		s.decode(l, s.name, src.Flag(s.name))
	}
	l.secret(&l.out.FleetSecret, "fleet-secret-file", EnvFleetSecret, minFleetSecret)
	l.secret(&l.out.OperatorToken, "operator-token-file", EnvOperatorToken, minOperatorToken)
	l.checkTogether()
	if len(l.errs) > 0 {
		return Serve{}, l.errs
	}
	return l.out, nil
}
