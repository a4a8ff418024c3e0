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
	// callTimeout is longer than the timeouts inside the operator API, so that the
	// command receives the API's error instead of timing out itself.
	callTimeout = 15 * time.Second
	// progressInterval is the interval of progress queries. It is short compared with
	// the 4 s within which changes come into force.
	progressInterval = 100 * time.Millisecond
)

// clientFlags returns the flags of commands that call the operator API.
func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "operator", Value: "127.0.0.1:8083", Usage: "`IP:port` of the operator API of any instance",
			Sources: cli.EnvVars("PARSLEY_OPERATOR"),
		},
		&cli.StringFlag{
			Name: "token", Usage: "operator `token`; prefer the environment variable, because other users can see command lines",
			Sources: cli.EnvVars("PARSLEY_TOKEN", settings.EnvOperatorToken), HideDefault: true,
		},
	}
}

// changeFlags returns the flags of commands that change the catalogue.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "by", Usage: "`name` recorded with the change (default: the user name)",
			Sources: cli.EnvVars("PARSLEY_BY", "USER", "LOGNAME"), HideDefault: true,
		},
		&cli.DurationFlag{
			Name: "wait", Value: 10 * time.Second, Usage: "longest time to wait until the change is in force",
			Sources: cli.EnvVars("PARSLEY_WAIT"),
		},
		&cli.BoolFlag{Name: "dry-run", Usage: "print what would change and store nothing"},
	}
}

var errNoAuthor = usagef("--by or PARSLEY_BY: want the name to record with the change")

// session is one command's use of the operator API.
type session struct {
	cmd      *cli.Command
	client   *operator.Client
	results  io.Writer // standard output
	progress io.Writer // standard error
}

// sharedHTTPClient returns the HTTP client with the event loops that all commands of
// the process share. It is never closed: nbio's Stop does not return if a poller's
// goroutine has not started yet, which happens when a command fails immediately.
var sharedHTTPClient = sync.OnceValues(http1.NewClient)

// withSession calls f with a session for the API given by --operator and --token.
func withSession(cmd *cli.Command, f func(*session) error) error {
	token := cmd.String("token")
	if token == "" || strings.ContainsFunc(token, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return usagef("--token or PARSLEY_TOKEN: want the operator token, printable ASCII characters without spaces")
	}
	eventLoop, err := sharedHTTPClient()
	if err != nil {
		return err
	}
	client := operator.NewClient(eventLoop, cmd.String("operator"), token)
	defer client.Close()
	return f(&session{cmd: cmd, client: client, results: cmd.Root().Writer, progress: cmd.Root().ErrWriter})
}

func (s *session) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.progress, format+"\n", args...)
}

func (s *session) catalogue(ctx context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Catalogue(ctx)
}

// edit reads the catalogue, applies f to a copy and stores the copy with the revision
// read as base. stored reports whether the store accepted the change; it can be true
// together with an error if the change did not come into force in time.
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
	return s.storeAndWait(ctx, rev, old, edited)
}

// storeAndWait stores edited with the revision base and waits until it is in force.
// old is the current catalogue; the differences from it are printed first.
func (s *session) storeAndWait(ctx context.Context, base fleet.Revision, old, edited *catalogue.Catalogue) (stored bool, err error) {
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
		return false, errNoAuthor
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

// waitInForce waits for at most the time set by --wait until rev is in force, and
// prints when it was accepted and when it came into force.
func (s *session) waitInForce(ctx context.Context, rev fleet.Revision) error {
	wait := s.cmd.Duration("wait")
	s.logf("revision %d: accepted by the store", rev)
	ctx, cancel := context.WithTimeout(ctx, max(wait, time.Millisecond))
	defer cancel()
	p, err := operator.WaitInForce(ctx, s.client, rev, progressInterval)
	if !p.Accepted.IsZero() {
		s.logf("revision %d: accepted at %s", rev, formatTime(p.Accepted))
	}
	if err != nil || !p.InForce {
		p.Revision = rev
		return &notInForceError{progress: p, wait: wait.String(), err: err}
	}
	after := ""
	if !p.Accepted.IsZero() {
		after = ", " + p.Since.Sub(p.Accepted).Round(time.Millisecond).String() + " later"
	}
	s.logf("revision %d: in force at %s%s; %d of %d members know it", rev, formatTime(p.Since), after, p.Learned, p.Members)
	return nil
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

// revisionComment is the prefix of the first line of an exported catalogue; the
// revision number follows it.
const revisionComment = "# revision "

func exportCatalogue(ctx context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd); err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		c, rev, err := s.catalogue(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(s.results, "%s%d\n%s", revisionComment, rev, c.Format())
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
	if err := requireArgs(cmd, "FILE"); err != nil {
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
	if err := requireArgs(cmd, names...); err != nil {
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
		return printDiff(s.results, old, edited)
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
	if err := requireArgs(cmd, "FILE"); err != nil {
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
			_, err = s.storeAndWait(ctx, base, old, edited)
			return err
		case cmd.Bool("dry-run"):
			return &operator.ConflictError{Base: base, Current: rev}
		case cmd.String("by") == "":
			return errNoAuthor
		}
		// The base is outdated, so the store is expected to refuse the write. Its
		// conflict error names the author of the current revision, which is not
		// known here.
		if _, err = s.apply(ctx, base, edited, cmd.String("by")); err != nil {
			return err
		}
		return fmt.Errorf("the current revision was %d, but the store accepted an edit based on revision %d; check the catalogue", rev, base)
	})
}

// baseRevision returns the revision given by the --base flag or, if flag is empty, by
// the first line of the catalogue file.
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

// readInput reads at most 64 KiB from r, or from standard input if r is nil.
func readInput(r io.Reader) ([]byte, error) {
	if r == nil {
		r = os.Stdin
	}
	return io.ReadAll(io.LimitReader(r, 64<<10))
}
