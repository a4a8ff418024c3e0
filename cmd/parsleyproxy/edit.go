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
	callerKeyBytes = 32 // random bytes of a caller key
	// callerKeyPrefix keeps keys from starting with a dash, which command lines take
	// for a flag and repeat in errors, and lets secret scanners find them.
	callerKeyPrefix = "pk_"
	minHashPrefix   = 8 // hexadecimal digits
)

// editNamed runs an edit of the item that the only argument names.
func editNamed(ctx context.Context, cmd *cli.Command, arg string, f func(c *catalogue.Catalogue, name string) error) error {
	if err := wantArgs(cmd, arg); err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		_, err := s.edit(ctx, func(c *catalogue.Catalogue) error { return f(c, cmd.Args().First()) })
		return err
	})
}

func setEntry(ctx context.Context, cmd *cli.Command) error {
	return editNamed(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		i := slices.IndexFunc(c.Entries, func(e catalogue.Entry) bool { return string(e.ID) == name })
		if i < 0 {
			i = len(c.Entries)
			c.Entries = append(c.Entries, catalogue.Entry{ID: fleet.EntryID(name)})
		}
		e := &c.Entries[i]
		setText(cmd, "owner", &e.Owner)
		setText(cmd, "service", &e.Service)
		setText(cmd, "path-prefix", &e.PathPrefix)
		setText(cmd, "class", &e.Class)
		setKeySource(cmd, &e.RoutingKey)
		if cmd.IsSet("open") {
			e.Open = cmd.Bool("open")
		}
		if cmd.IsSet("accounts") {
			e.Accounts = splitAccounts(cmd.String("accounts"))
		}
		return setLimit(cmd, &e.Limit)
	})
}

func setText[T ~string](cmd *cli.Command, flag string, v *T) {
	if cmd.IsSet(flag) {
		*v = T(cmd.String(flag))
	}
}

// setKeySource drops what does not belong to a new kind of source.
func setKeySource(cmd *cli.Command, k *catalogue.KeySource) {
	if cmd.IsSet("key-from") && string(k.From) != cmd.String("key-from") {
		*k = catalogue.KeySource{From: catalogue.KeyFrom(cmd.String("key-from"))}
	}
	setText(cmd, "key-name", &k.Name)
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
		// A limit of zero would be stored as no limit.
		return usagef("--rate and --burst: want more than 0; --no-limit removes a limit, key withdraw and account remove refuse callers")
	}
	return nil
}

func removeEntry(ctx context.Context, cmd *cli.Command) error {
	return editNamed(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		n := len(c.Entries)
		c.Entries = slices.DeleteFunc(c.Entries, func(e catalogue.Entry) bool { return string(e.ID) == name })
		return removed("entry", name, n, len(c.Entries))
	})
}

func setAccount(ctx context.Context, cmd *cli.Command) error {
	return editNamed(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		i := slices.IndexFunc(c.Accounts, func(a catalogue.Account) bool { return string(a.ID) == name })
		if i < 0 {
			i = len(c.Accounts)
			c.Accounts = append(c.Accounts, catalogue.Account{ID: fleet.AccountID(name)})
		}
		return setLimit(cmd, &c.Accounts[i].Limit)
	})
}

func removeAccount(ctx context.Context, cmd *cli.Command) error {
	return editNamed(ctx, cmd, "ID", func(c *catalogue.Catalogue, name string) error {
		n := len(c.Accounts)
		c.Accounts = slices.DeleteFunc(c.Accounts, func(a catalogue.Account) bool { return string(a.ID) == name })
		return removed("account", name, n, len(c.Accounts))
	})
}

func removed(kind, name string, before, after int) error {
	if before == after {
		return usagef("%s %q: there is no such %s", kind, name, kind)
	}
	return nil
}

// grantKey prints the caller key only after the store has accepted its hash. Then
// it is printed also if it is not in force yet, since it cannot be had again.
func grantKey(ctx context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd, "ACCOUNT"); err != nil {
		return err
	}
	secret := make([]byte, callerKeyBytes)
	if _, err := rand.Read(secret); err != nil {
		return errors.Wrap(err, "random bytes for the caller key")
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
			if _, err := fmt.Fprintln(s.out, string(key)); err != nil {
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
	if err := wantArgs(cmd, "HASH"); err != nil {
		return err
	}
	prefix := strings.ToLower(cmd.Args().First())
	if prefix == "-" {
		data, err := readAll(cmd.Root().Reader)
		if err != nil {
			return errors.Wrap(err, "read the caller key")
		}
		prefix = fleet.CallerKey(strings.TrimRight(string(data), "\r\n")).Hash().String()
	}
	// The text is not repeated in errors: it may be the caller key by mistake.
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

func takeOut(ctx context.Context, cmd *cli.Command, kind catalogue.OutageKind) error {
	if err := wantArgs(cmd, "NAME"); err != nil {
		return err
	}
	name := cmd.Args().First()
	return withSession(cmd, func(s *session) error {
		if !cmd.Bool("force") {
			if err := s.checkName(ctx, kind, name); err != nil {
				return err
			}
		}
		_, err := s.edit(ctx, func(c *catalogue.Catalogue) error {
			if o, out := c.Out(kind, name); out {
				return usagef("%s %q: out of service since %s, taken out by %s", kind, name, stamp(o.At), o.By)
			}
			// The record has whole seconds; more digits say nothing to an operator.
			at := time.Now().UTC().Truncate(time.Second)
			c.OutOfService = append(c.OutOfService, catalogue.Outage{Kind: kind, Name: name, By: cmd.String("by"), At: at})
			return nil
		})
		return err
	})
}

// checkName refuses names that the fleet does not know: a misspelt name would be
// stored and have no effect.
func (s *session) checkName(ctx context.Context, kind catalogue.OutageKind, name string) error {
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

func bringBack(ctx context.Context, cmd *cli.Command, kind catalogue.OutageKind) error {
	return editNamed(ctx, cmd, "NAME", func(c *catalogue.Catalogue, name string) error {
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
