package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// callTimeout is longer than the API's own, so that its explanation arrives.
	callTimeout = 15 * time.Second
	// progressInterval is short against the 4 s in which changes come into force.
	progressInterval = 100 * time.Millisecond
)

func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "operator", Value: "127.0.0.1:8083", Usage: "`IP:port` of the operator API of any instance",
			Sources: cli.EnvVars("PARSLEY_OPERATOR"),
		},
		&cli.StringFlag{
			Name: "token", Usage: "operator `token`; prefer the environment, since command lines are visible to others",
			Sources: cli.EnvVars("PARSLEY_TOKEN", settings.EnvOperatorToken), HideDefault: true,
		},
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "by", Usage: "`name` recorded with the change (default: the user name)",
			Sources: cli.EnvVars("PARSLEY_BY", "USER", "LOGNAME"), HideDefault: true,
		},
		&cli.DurationFlag{
			Name: "wait", Value: 10 * time.Second, Usage: "how long to wait until the change is in force, as a duration",
			Sources: cli.EnvVars("PARSLEY_WAIT"),
		},
		&cli.BoolFlag{Name: "dry-run", Usage: "print what would change and store nothing"},
	}
}

var errNoName = usagef("--by or PARSLEY_BY: want the name to record with the change")

// session is the connection of one command to the operator API.
type session struct {
	cmd    *cli.Command
	client *operator.Client
	out    io.Writer // results
	log    io.Writer // progress
}

// eventLoops are shared by the commands of the process and not closed: nbio's Stop
// never returns if a poller's goroutine has not run yet, which a command that fails
// at once provokes.
var eventLoops = sync.OnceValues(http1.NewClient)

// withSession runs f with a connection to the API.
func withSession(cmd *cli.Command, f func(*session) error) error {
	token := cmd.String("token")
	if token == "" || strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return usagef("--token or PARSLEY_TOKEN: want the operator token, printable ASCII characters without spaces")
	}
	events, err := eventLoops()
	if err != nil {
		return err
	}
	client := operator.NewClient(events, cmd.String("operator"), token)
	defer client.Close()
	return f(&session{cmd: cmd, client: client, out: cmd.Root().Writer, log: cmd.Root().ErrWriter})
}

func (s *session) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.log, format+"\n", args...)
}

func (s *session) catalogue(ctx context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Catalogue(ctx)
}

// edit reads the catalogue, applies f to it and stores it on the revision read.
// The result says whether it was stored, also if an error follows.
func (s *session) edit(ctx context.Context, f func(*catalogue.Catalogue) error) (stored bool, err error) {
	old, rev, err := s.catalogue(ctx)
	if err != nil {
		return false, err
	}
	edited := old.Clone()
	if err := f(edited); err != nil {
		return false, err
	}
	if err := edited.Check(); err != nil {
		return false, err
	}
	return s.change(ctx, rev, old, edited)
}

// change stores edited on the revision base and waits until it is in force. old is
// the present catalogue, for the list of changes.
func (s *session) change(ctx context.Context, base fleet.Revision, old, edited *catalogue.Catalogue) (stored bool, err error) {
	if err := edited.CheckEdit(old); err != nil {
		return false, err
	}
	changes := catalogue.Diff(old, edited)
	for _, c := range changes {
		s.logf("%s", c)
	}
	by := s.cmd.String("by")
	switch {
	case len(changes) == 0:
		s.logf("revision %d: nothing changes", base)
		return false, nil
	case s.cmd.Bool("dry-run"):
		s.logf("dry run on revision %d: nothing was stored", base)
		return false, nil
	case by == "":
		return false, errNoName
	}
	rev, err := s.apply(ctx, base, edited, by)
	if err != nil {
		return false, err
	}
	return true, s.waitInForce(ctx, rev)
}

func (s *session) apply(ctx context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Apply(ctx, base, c, by)
}

// waitInForce reports when rev was accepted and when it came into force.
func (s *session) waitInForce(ctx context.Context, rev fleet.Revision) error {
	wait := s.cmd.Duration("wait")
	s.logf("revision %d: accepted by the store", rev)
	ctx, cancel := context.WithTimeout(ctx, max(wait, time.Millisecond))
	defer cancel()
	p, err := operator.WaitInForce(ctx, s.client, rev, progressInterval)
	if !p.Accepted.IsZero() {
		s.logf("revision %d: accepted at %s", rev, stamp(p.Accepted))
	}
	if err != nil || !p.InForce {
		p.Revision = rev
		return &notInForceError{progress: p, wait: wait.String(), err: err}
	}
	after := ""
	if !p.Accepted.IsZero() {
		after = ", " + p.Since.Sub(p.Accepted).Round(time.Millisecond).String() + " later"
	}
	s.logf("revision %d: in force at %s%s; %d of %d members know it", rev, stamp(p.Since), after, p.Learned, p.Members)
	return nil
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

// revisionComment starts the first line of an exported catalogue.
const revisionComment = "# revision "

func exportCatalogue(ctx context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd); err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		c, rev, err := s.catalogue(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.out, "%s%d\n%s", revisionComment, rev, c.Format())
		return err
	})
}

func parseFile(name string) (*catalogue.Catalogue, []byte, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, nil, err
	}
	c, err := catalogue.Parse(name, data)
	return c, data, err
}

func checkFile(_ context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd, "FILE"); err != nil {
		return err
	}
	name := cmd.Args().First()
	c, _, err := parseFile(name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: valid: %d services, %d entries, %d accounts, %d caller keys, %d out of service\n",
		name, len(c.Services), len(c.Entries), len(c.Accounts), len(c.CallerKeys), len(c.OutOfService))
	return err
}

func diffFiles(ctx context.Context, cmd *cli.Command) error {
	names := []string{"OLD", "FILE"}
	if cmd.Args().Len() < 2 {
		names = names[1:]
	}
	if err := wantArgs(cmd, names...); err != nil {
		return err
	}
	edited, _, err := parseFile(cmd.Args().Get(len(names) - 1))
	if err != nil {
		return err
	}
	if len(names) == 2 {
		old, _, err := parseFile(cmd.Args().First())
		if err != nil {
			return err
		}
		return printDiff(cmd.Root().Writer, old, edited)
	}
	return withSession(cmd, func(s *session) error {
		old, rev, err := s.catalogue(ctx)
		if err != nil {
			return err
		}
		s.logf("compared with revision %d", rev)
		return printDiff(s.out, old, edited)
	})
}

func printDiff(w io.Writer, old, edited *catalogue.Catalogue) error {
	for _, c := range catalogue.Diff(old, edited) {
		if _, err := fmt.Fprintln(w, c); err != nil {
			return err
		}
	}
	return edited.CheckEdit(old)
}

func applyFile(ctx context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd, "FILE"); err != nil {
		return err
	}
	edited, data, err := parseFile(cmd.Args().First())
	if err != nil {
		return err
	}
	base, err := baseRevision(cmd.String("base"), data)
	if err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		old, rev, err := s.catalogue(ctx)
		switch {
		case err != nil:
			return err
		case rev == base:
			_, err = s.change(ctx, base, old, edited)
			return err
		case cmd.Bool("dry-run"):
			return &operator.ConflictError{Base: base, Current: rev}
		case cmd.String("by") == "":
			return errNoName
		}
		// The base is outdated; the store says who won. Without this call the
		// operator would only learn the revision.
		if _, err = s.apply(ctx, base, edited, cmd.String("by")); err != nil {
			return err
		}
		return fmt.Errorf("revision %d was read, but the edit was stored on revision %d; check the catalogue", rev, base)
	})
}

// baseRevision returns the --base flag or the revision in the file's first line.
func baseRevision(flag string, data []byte) (fleet.Revision, error) {
	text, source := flag, "--base"
	if text == "" {
		line, _, _ := strings.Cut(string(data), "\n")
		after, found := strings.CutPrefix(strings.TrimSpace(line), revisionComment)
		if !found {
			return 0, usagef("--base: want the revision that the edit is based on, or a file that starts with %q", revisionComment+"NUMBER")
		}
		text, source = after, "first line of the file"
	}
	rev, err := parseRevision(text)
	if err != nil {
		return 0, usagef("%s: %v", source, err)
	}
	return rev, nil
}

func keyQuery(service, key string) operator.Query {
	return operator.KeyQuery{Service: fleet.ServiceID(service), Key: fleet.RoutingKey(key)}
}

func readAll(r io.Reader) ([]byte, error) {
	if r == nil {
		r = os.Stdin
	}
	return io.ReadAll(io.LimitReader(r, 64<<10))
}
