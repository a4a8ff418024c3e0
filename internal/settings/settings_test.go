package settings_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/settings"
)

const (
	fleetSecret   = "fleet-secret-fleet-secret-fleet-secret"
	operatorToken = "operator-token-operator-token"
)

// load parses args with the cli package and loads the settings with the environment
// variables env.
func load(t *testing.T, env map[string]string, args ...string) (settings.Serve, error) {
	t.Helper()
	for k, v := range env {
		t.Setenv(k, v)
	}
	var (
		got settings.Serve
		err error
	)
	cmd := &cli.Command{
		Name: "serve", Flags: settings.Flags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			got, err = settings.FromCommand(cmd)
			return nil
		},
	}
	if runErr := cmd.Run(t.Context(), append([]string{"serve"}, args...)); runErr != nil {
		t.Fatal(runErr)
	}
	return got, err
}

// Guards against a flag or environment variable that sets the wrong field.
func TestLoad(t *testing.T) {
	token := t.TempDir() + "/token"
	if err := os.WriteFile(token, []byte(operatorToken+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := load(t,
		map[string]string{
			"PARSLEY_FLEET_SECRET": fleetSecret, "PARSLEY_ZONE": "a", "PARSLEY_SEEDS": "10.0.0.1:8081, [fd00::2]:8081",
			"PARSLEY_MAX_BODY": "2MiB", "PARSLEY_AUTHORITY_TTL": "800ms",
		},
		"--instance", "i1", "--store", "10.0.0.9:1", "--list", "10.0.0.9:2", "--peer-listen", "10.0.0.7:8081",
		"--advertise-forward", "10.0.0.8:9", "--operator-token-file", token, "--log-format", "text", "--log-level", "debug",
	)
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Serve{
		Instance: "i1", Zone: "a",
		CallerListen: "0.0.0.0:8080", PeerListen: "10.0.0.7:8081", ForwardListen: "0.0.0.0:8082", OperatorListen: "127.0.0.1:8083",
		AdvertisePeer: "10.0.0.7:8081", AdvertiseForward: "10.0.0.8:9",
		Store: "10.0.0.9:1", List: "10.0.0.9:2", Seeds: []string{"10.0.0.1:8081", "[fd00::2]:8081"},
		FleetSecret: fleetSecret, OperatorToken: operatorToken,
		LogLevel: hclog.Debug, LogFormat: settings.LogText, AuthorityTTL: 800 * time.Millisecond,
		Limits:          settings.Limits{MaxBody: 2 << 20, MaxHeader: 64 << 10, MaxConns: 20_000, ReadTimeout: time.Minute},
		ShutdownTimeout: 30 * time.Second,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if s := fmt.Sprintf("%v %+v %#v", got, got, got); strings.Contains(s, fleetSecret) || strings.Contains(s, operatorToken) {
		t.Error("formatted settings contain a secret")
	}
}

// Guards against invalid settings that are accepted, against errors that are not all
// reported at once or lack the flag, the value or the allowed values, and against
// errors that contain a secret.
func TestErrors(t *testing.T) {
	valid := map[string]string{
		"instance": "i1", "zone": "a", "store": "10.0.0.9:1", "list": "10.0.0.9:2",
		"advertise-peer": "10.0.0.7:8081", "advertise-forward": "10.0.0.7:8082",
		"caller-listen": "0.0.0.0:8080", "peer-listen": "0.0.0.0:8081", "forward-listen": "0.0.0.0:8082", "operator-listen": "127.0.0.1:8083",
		"log-level": "info", "log-format": "json", "authority-ttl": "1s", "shutdown-timeout": "30s",
		"max-body": "4MiB", "max-header": "64KiB", "max-conns": "20000", "read-timeout": "60s",
	}
	secrets := map[string]string{settings.EnvFleetSecret: fleetSecret, settings.EnvOperatorToken: operatorToken}
	tests := []struct {
		name  string
		flags map[string]string
		env   map[string]string
		want  []string
	}{
		{"valid", nil, nil, nil},
		{"ids", map[string]string{"instance": "", "zone": "a b"}, nil, []string{
			`--instance (empty): want 1 to 64 letters`, `--zone "a b": want 1 to 64 letters`,
		}},
		{"addresses", map[string]string{"store": "store.example:80", "list": "0.0.0.0:80", "advertise-peer": "10.0.0.1:0", "seeds": "10.0.0.1:1,x"}, nil, []string{
			`--advertise-peer "10.0.0.1:0": want a port from 1 to 65535`,
			`--store "store.example:80": want an IP address and a port`,
			`--list "0.0.0.0:80": want an IP address that others can reach`,
			`--seeds "x": want an IP address and a port`,
		}},
		{"same port", map[string]string{"forward-listen": "10.0.0.7:8081"}, nil, []string{
			`--forward-listen "10.0.0.7:8081": want an address other than --peer-listen "0.0.0.0:8081"`,
		}},
		{"no advertised address", map[string]string{"advertise-peer": ""}, nil, []string{
			`--advertise-peer (empty): want an IP address and a port that others can reach, because --peer-listen "0.0.0.0:8081" has none`,
		}},
		{"units", map[string]string{
			"authority-ttl": "1", "shutdown-timeout": "1ms", "max-body": "4MB", "max-header": "99999999999999999999KiB",
			"max-conns": "0", "read-timeout": "-1s", "log-level": "loud", "log-format": "xml",
		}, nil, []string{
			`--log-level "loud": want trace, debug, info, warn or error`, `--log-format "xml": want json or text`,
			`--authority-ttl "1": want a duration with its unit, from 500ms to 5s`,
			`--shutdown-timeout "1ms": want a duration with its unit, from 1s to 1h0m0s`,
			`--max-body "4MB": want bytes from 1024 to 268435456`, `--max-header "99999999999999999999KiB": want bytes`,
			`--max-conns "0": want a whole number from 1 to 1000000`, `--read-timeout "-1s": want a duration`,
		}},
		{"secrets missing", nil, map[string]string{settings.EnvFleetSecret: "", settings.EnvOperatorToken: ""}, []string{
			`--fleet-secret-file (empty): want a file with the secret, or the secret in PARSLEY_FLEET_SECRET`,
			`--operator-token-file (empty): want a file with the secret, or the secret in PARSLEY_OPERATOR_TOKEN`,
		}},
		{"secrets bad", map[string]string{"operator-token-file": "/bad"}, map[string]string{settings.EnvFleetSecret: "short-secret", settings.EnvOperatorToken: ""}, []string{
			`PARSLEY_FLEET_SECRET "[secret]": want 32 to 4096 printable`, `--operator-token-file "/bad": want a file with 16 to 4096 printable`,
		}},
		{"secrets twice", map[string]string{"fleet-secret-file": "/bad", "operator-token-file": "/absent"}, map[string]string{settings.EnvOperatorToken: ""}, []string{
			`--fleet-secret-file "/bad": want either this file or PARSLEY_FLEET_SECRET, not both`, `--operator-token-file "/absent": want a readable file`,
		}},
		{"secrets equal", nil, map[string]string{settings.EnvOperatorToken: fleetSecret}, []string{
			`--operator-token-file "[secret]": want a token that differs from the fleet secret`,
		}},
	}
	pick := func(base, over map[string]string) func(string) string {
		return func(name string) string {
			if v, ok := over[name]; ok {
				return v
			}
			return base[name]
		}
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Load(settings.Sources{
				Flag: pick(valid, tt.flags), Env: pick(secrets, tt.env),
				ReadFile: func(name string) ([]byte, error) {
					if name == "/bad" {
						return []byte("bad secret in a file\n"), nil
					}
					return nil, os.ErrNotExist
				},
			})
			var got []string
			if err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			prefix := cmp.Comparer(func(a, b string) bool { return strings.HasPrefix(a, b) || strings.HasPrefix(b, a) })
			if diff := cmp.Diff(tt.want, got, prefix); diff != "" {
				t.Error(diff)
			}
			for _, secret := range []string{fleetSecret, operatorToken, "short-secret", "bad secret"} {
				if strings.Contains(fmt.Sprint(err), secret) {
					t.Errorf("error contains a secret: %v", err)
				}
			}
		})
	}
}
