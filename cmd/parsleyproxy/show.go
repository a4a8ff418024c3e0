package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/jx"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func (s *session) status(ctx context.Context) (operator.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Status(ctx)
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd); err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		st, err := s.status(ctx)
		if err != nil {
			return err
		}
		if cmd.Bool("json") {
			return printJSON(s.out, st)
		}
		return table(s.out, func(w io.Writer) { printStatus(w, st) })
	})
}

func printJSON(w io.Writer, v interface{ Encode(e *jx.Encoder) }) error {
	var e jx.Encoder
	e.SetIdent(2)
	v.Encode(&e)
	_, err := fmt.Fprintf(w, "%s\n", e.Bytes())
	return err
}

// table aligns the columns that f separates with tabs.
func table(w io.Writer, f func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	f(t)
	return t.Flush()
}

func line(w io.Writer, cells ...string) {
	for i, c := range cells {
		if c == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func printStatus(w io.Writer, st operator.Status) {
	line(w, "instance", string(st.Instance), "zone "+string(st.Zone))
	line(w, "authority", authority(st))
	line(w, "store answered", ago(st.Now, st.StoreAnswered))
	line(w, "catalogue revision", strconv.FormatUint(uint64(st.Catalogue), 10))
	line(w, "assignment revision", strconv.FormatUint(uint64(st.Assignment), 10))
	line(w, "planner", string(st.Planner))
	for _, a := range st.Alarms() {
		line(w, "alarm "+string(a.Name), a.Detail)
	}
	line(w, "\nMEMBER", "ZONE", "ADDRESS", "LAST HEARD")
	for _, m := range st.Members {
		heard := ago(st.Now, m.Heard)
		if m.ID == st.Instance {
			heard = "this instance"
		}
		line(w, string(m.ID), string(m.Zone), m.Address, heard)
	}
	line(w, "\nUPSTREAM", "SERVICE", "ZONE", "DISPATCHER", "STATE", "LIMIT", "IN FLIGHT", "QUEUED")
	for _, u := range st.Upstreams {
		limit, inFlight, queued := "", "", ""
		if u.Known {
			limit = fmt.Sprintf("%d of %d", u.Limit, u.Slots)
			inFlight, queued = strconv.Itoa(int(u.InFlight)), strconv.Itoa(u.Queued)
		}
		line(w, string(u.ID), string(u.Service), string(u.Zone), string(u.Dispatcher), u.State, limit, inFlight, queued)
	}
	if len(st.OutOfService) == 0 {
		line(w, "\nnothing is out of service")
		return
	}
	line(w, "\nOUT OF SERVICE", "NAME", "BY", "SINCE")
	for _, o := range st.OutOfService {
		line(w, string(o.Kind), o.Name, o.By, stamp(o.At))
	}
}

func authority(st operator.Status) string {
	left := st.Authority.Sub(st.Now)
	if left <= 0 {
		return "none: the instance refuses requests with no-authority"
	}
	return "until " + stamp(st.Authority) + " (" + left.Round(time.Millisecond).String() + ")"
}

func ago(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

func explainRequest(ctx context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd, "ID"); err != nil {
		return err
	}
	return showExplanation(ctx, cmd, operator.RequestQuery{ID: fleet.RequestID(cmd.Args().First())})
}

func explainAccount(ctx context.Context, cmd *cli.Command) error {
	if err := wantArgs(cmd, "ID"); err != nil {
		return err
	}
	return showExplanation(ctx, cmd, operator.AccountQuery{ID: fleet.AccountID(cmd.Args().First())})
}

func showExplanation(ctx context.Context, cmd *cli.Command, q operator.Query) error {
	return withSession(cmd, func(s *session) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		x, err := s.client.Explain(ctx, q)
		if err != nil {
			return err
		}
		if cmd.Bool("json") {
			return printJSON(s.out, x)
		}
		return table(s.out, func(w io.Writer) { printExplanation(w, q, x) })
	})
}

func printExplanation(w io.Writer, q operator.Query, x operator.Explanation) {
	switch q.(type) {
	case operator.KeyQuery:
		printOwner(w, x.Owner)
		printMoves(w, x.Moves)
	default:
		printRefusals(w, x.Refusals)
	}
	if len(x.Missing) > 0 {
		line(w, fmt.Sprintf("\nincomplete: %d instances answered, no answer from %s", len(x.Answered), joinIDs(x.Missing)))
	}
}

func printOwner(w io.Writer, o *operator.Ownership) {
	if o == nil {
		line(w, "the key has no owner; requests for it are refused with no-owner")
		return
	}
	since := stamp(o.Since)
	if o.Since.IsZero() {
		since = "before the instance started"
	}
	line(w, "unit", o.Unit.String())
	line(w, "owner", string(o.Owner))
	line(w, "since", since)
	line(w, "fence", o.Fence.String())
	line(w, "dispatcher", string(o.Dispatcher))
	if len(o.Previous) > 0 {
		line(w, "not yet released by", joinIDs(o.Previous))
	}
}

func printMoves(w io.Writer, moves []operator.Move) {
	if len(moves) == 0 {
		return
	}
	line(w, "\nMOVED AT", "FROM", "TO", "FENCE", "CAUSE", "DETAIL")
	for _, m := range moves {
		line(w, stamp(m.At), string(m.From), string(m.To), m.Fence.String(), m.Cause, m.Detail)
	}
}

func printRefusals(w io.Writer, refusals []operator.Refused) {
	if len(refusals) == 0 {
		line(w, "no refusal is on record")
		return
	}
	line(w, "REFUSED AT", "INSTANCE", "REQUEST", "ACCOUNT", "ENTRY", "KEY", "OUTCOME", "REASON", "DETAIL")
	for _, r := range refusals {
		line(w, stamp(r.At), string(r.Instance), string(r.Request), string(r.Account), string(r.Entry), string(r.Key),
			string(r.Reason.Outcome()), string(r.Reason), r.Detail)
	}
}

func joinIDs[T ~string](ids []T) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ", ")
}
