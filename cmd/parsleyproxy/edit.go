package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	callerKeyBytes = 32 // number of random bytes in a caller key
	// callerKeyPrefix lets secret scanners recognize caller keys. It also prevents a key
	// from starting with a dash: as an argument it would be parsed as a flag and
	// printed in the error.
	callerKeyPrefix = "pk_"
	minHashPrefix   = 8 // shortest accepted hash prefix, in hexadecimal digits
)

// editByName edits the catalogue with f, which gets the command's only argument as
// name. arg is the argument's name in usage errors.
func editByName(ctx context.Context, cmd *cli.Command, arg string, f func(c *catalogue.Catalogue, name string) error) error {
	if err := requireArgs(cmd, arg); err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		_, err := s.edit(ctx, func(c *catalogue.Catalogue) error { return f(c, cmd.Args().First()) })
		return err
	})
}

func setEntry(ctx context.Context, cmd *cli.Command) error {
	return editByName(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		i := slices.IndexFunc(c.Entries, func(e catalogue.Entry) bool { return string(e.ID) == name })
		if i < 0 {
			i = len(c.Entries)
			c.Entries = append(c.Entries, catalogue.Entry{ID: fleet.EntryID(name)})
		}
		e := &c.Entries[i]
		setString(cmd, "owner", &e.Owner)
		setString(cmd, "service", &e.Service)
		setString(cmd, "path-prefix", &e.PathPrefix)
		setString(cmd, "class", &e.Class)
		setRoutingKeySource(cmd, &e.RoutingKey)
		if cmd.IsSet("open") {
			e.Open = cmd.Bool("open")
		}
		if cmd.IsSet("accounts") {
			e.Accounts = splitAccounts(cmd.String("accounts"))
		}
		return setLimit(cmd, &e.Limit)
	})
}

func setString[T ~string](cmd *cli.Command, flag string, v *T) {
	if cmd.IsSet(flag) {
		*v = T(cmd.String(flag))
	}
}

// setRoutingKeySource sets the source of the routing key from the --key- flags. If
// --key-from changes, the name and segment of the previous source are cleared.
func setRoutingKeySource(cmd *cli.Command, k *catalogue.KeySource) {
	if cmd.IsSet("key-from") && string(k.From) != cmd.String("key-from") {
		*k = catalogue.KeySource{From: catalogue.KeyFrom(cmd.String("key-from"))}
	}
	setString(cmd, "key-name", &k.Name)
	if cmd.IsSet("key-segment") {
		k.Segment = cmd.Int("key-segment")
	}
}

func splitAccounts(list string) []fleet.AccountID {
	var out []fleet.AccountID
	for _, a := range strings.Split(list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, fleet.AccountID(a))
		}
	}
	return out
}

func setLimit(cmd *cli.Command, l *fleet.Limit) error {
	if cmd.Bool("no-limit") {
		if cmd.IsSet("rate") || cmd.IsSet("burst") {
			return usagef("--no-limit: not allowed with --rate or --burst")
		}
		*l = fleet.Limit{}
		return nil
	}
	if cmd.IsSet("rate") {
		l.Rate = fleet.PerSecond(cmd.Float("rate"))
	}
	if cmd.IsSet("burst") {
		l.Burst = fleet.Tokens(cmd.Int64("burst"))
	}
	if (cmd.IsSet("rate") || cmd.IsSet("burst")) && l.Unlimited() {
		// A zero limit means "no limit" in the catalogue, so it must not be stored
		// for an operator who wants to refuse all requests.
		return usagef("--rate and --burst: want more than 0; --no-limit removes a limit, key withdraw and account remove refuse callers")
	}
	return nil
}

func removeEntry(ctx context.Context, cmd *cli.Command) error {
	return editByName(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		n := len(c.Entries)
		c.Entries = slices.DeleteFunc(c.Entries, func(e catalogue.Entry) bool { return string(e.ID) == name })
		return requireRemoval("entry", name, n, len(c.Entries))
	})
}

func setAccount(ctx context.Context, cmd *cli.Command) error {
	return editByName(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		i := slices.IndexFunc(c.Accounts, func(a catalogue.Account) bool { return string(a.ID) == name })
		if i < 0 {
			i = len(c.Accounts)
			c.Accounts = append(c.Accounts, catalogue.Account{ID: fleet.AccountID(name)})
		}
		return setLimit(cmd, &c.Accounts[i].Limit)
	})
}

func removeAccount(ctx context.Context, cmd *cli.Command) error {
	return editByName(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		n := len(c.Accounts)
		c.Accounts = slices.DeleteFunc(c.Accounts, func(a catalogue.Account) bool { return string(a.ID) == name })
		return requireRemoval("account", name, n, len(c.Accounts))
	})
}

// requireRemoval returns a usage error if no item was removed. before and after are
// the numbers of items.
func requireRemoval(kind, name string, before, after int) error {
	if before == after {
		return usagef("%s %q: there is no such %s", kind, name, kind)
	}
	return nil
}

// grantKey creates a caller key and prints it once the store has accepted its hash,
// even if the change is not in force yet: only the hash is stored, so that the key
// cannot be printed later.
func grantKey(ctx context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd, "ACCOUNT"); err != nil {
		return err
	}
	secret := make([]byte, callerKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "generate the caller key")
	}
	key := fleet.CallerKey(callerKeyPrefix + base64.RawURLEncoding.EncodeToString(secret))
	return withSession(cmd, func(s *session) error {
		stored, err := s.edit(ctx, func(c *catalogue.Catalogue) error {
			c.CallerKeys = append(c.CallerKeys, catalogue.CallerKey{
				Hash: key.Hash(), Account: fleet.AccountID(cmd.Args().First()), Note: cmd.String("note"),
			})
			return nil
		})
		if stored {
			if _, err := fmt.Fprintln(s.results, string(key)); err != nil {
				return &grantUnknownError{key.Hash(), errors.Wrap(err, "print the caller key")}
			}
		}
		var unknown *operator.UnknownError
		if errors.As(err, &unknown) {
			return &grantUnknownError{key.Hash(), err}
		}
		return err
	})
}

func withdrawKey(ctx context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd, "HASH"); err != nil {
		return err
	}
	prefix := strings.ToLower(cmd.Args().First())
	if prefix == "-" {
		data, err := readInput(cmd.Root().Reader)
		if err != nil {
			return errors.Wrap(err, "read the caller key")
		}
		prefix = fleet.CallerKey(strings.TrimRight(string(data), "\r\n")).Hash().String()
	}
	// Errors do not contain the argument: it may be a caller key given by mistake.
	if len(prefix) < minHashPrefix || strings.Trim(prefix, "0123456789abcdef") != "" {
		return usagef("HASH: want %d to 64 hexadecimal digits of the hash, or - to read the caller key from standard input", minHashPrefix)
	}
	return withSession(cmd, func(s *session) error {
		_, err := s.edit(ctx, func(c *catalogue.Catalogue) error {
			matches := func(k catalogue.CallerKey) bool { return strings.HasPrefix(k.Hash.String(), prefix) }
			n := len(c.CallerKeys)
			c.CallerKeys = slices.DeleteFunc(c.CallerKeys, matches)
			switch n - len(c.CallerKeys) {
			case 0:
				return usagef("HASH: no caller key has this hash")
			case 1:
				return nil
			default:
				return usagef("HASH: more than one caller key starts with it; give more digits")
			}
		})
		return err
	})
}

func takeOutOfService(ctx context.Context, cmd *cli.Command, kind catalogue.OutageKind) error {
	if err := requireArgs(cmd, "NAME"); err != nil {
		return err
	}
	name := cmd.Args().First()
	return withSession(cmd, func(s *session) error {
		if !cmd.Bool("force") {
			if err := s.checkKnownName(ctx, kind, name); err != nil {
				return err
			}
		}
		_, err := s.edit(ctx, func(c *catalogue.Catalogue) error {
			if o, out := c.Out(kind, name); out {
				return usagef("%s %q: out of service since %s, taken out by %s", kind, name, formatTime(o.At), o.By)
			}
			// Whole seconds are precise enough for operators.
			at := time.Now().UTC().Truncate(time.Second)
			c.OutOfService = append(c.OutOfService, catalogue.Outage{Kind: kind, Name: name, By: cmd.String("by"), At: at})
			return nil
		})
		return err
	})
}

// checkKnownName returns a usage error if the fleet has no upstream, instance or zone
// with this name: an outage with a misspelt name would be stored without any effect.
func (s *session) checkKnownName(ctx context.Context, kind catalogue.OutageKind, name string) error {
	st, err := s.status(ctx)
	if err != nil {
		return err
	}
	var known []string
	for _, m := range st.Members {
		switch kind {
		case catalogue.OutageInstance:
			known = append(known, string(m.ID))
		case catalogue.OutageZone:
			known = append(known, string(m.Zone))
		}
	}
	for _, u := range st.Upstreams {
		switch kind {
		case catalogue.OutageUpstream:
			known = append(known, string(u.ID))
		case catalogue.OutageZone:
			known = append(known, string(u.Zone))
		}
	}
	if slices.Contains(known, name) {
		return nil
	}
	slices.Sort(known)
	return usagef("%s %q: the fleet does not know it; known: %s (--force stores it all the same)",
		kind, name, strings.Join(slices.Compact(known), ", "))
}

func returnToService(ctx context.Context, cmd *cli.Command, kind catalogue.OutageKind) error {
	return editByName(ctx, cmd, "NAME", func(c *catalogue.Catalogue, name string) error {
		if _, out := c.Out(kind, name); !out {
			return usagef("%s %q: it is not out of service", kind, name)
		}
		c.OutOfService = slices.DeleteFunc(c.OutOfService, func(o catalogue.Outage) bool {
			return o.Kind == kind && o.Name == name
		})
		return nil
	})
}

func parseRevision(s string) (fleet.Revision, error) {
	n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q: want a revision number", s)
	}
	return fleet.Revision(n), nil
}
