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
	if err := requireArgs(cmd); err != nil {
		return err
	}
	return withSession(cmd, func(s *session) error {
		st, err := s.status(ctx)
		if err != nil {
			return err
		}
		if cmd.Bool("json") {
			return printJSON(s.results, st)
		}
		return writeTable(s.results, func(w io.Writer) { printStatus(w, st) })
	})
}

func printJSON(w io.Writer, v interface{ Encode(e *jx.Encoder) }) error {
	var e jx.Encoder
	e.SetIdent(2)
	v.Encode(&e)
	_, err := fmt.Fprintf(w, "%s\n", e.Bytes())
	return err
}

// writeTable calls writeRows with a writer that aligns tab-separated columns.
func writeTable(w io.Writer, writeRows func(io.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRows(t)
	return t.Flush()
}

// writeRow writes one row of tab-separated cells, with "-" for empty cells.
func writeRow(w io.Writer, cells ...string) {
	for i, c := range cells {
		if c == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func printStatus(w io.Writer, st operator.Status) {
	writeRow(w, "instance", string(st.Instance), "zone "+string(st.Zone))
	writeRow(w, "authority", formatAuthority(st))
	writeRow(w, "store answered", formatAge(st.Now, st.StoreAnswered))
	writeRow(w, "catalogue revision", strconv.FormatUint(uint64(st.CatalogueRevision), 10))
	writeRow(w, "assignment revision", strconv.FormatUint(uint64(st.AssignmentRevision), 10))
	writeRow(w, "planner", string(st.Planner))
	for _, a := range st.Alarms() {
		writeRow(w, "alarm "+string(a.Name), a.Detail)
	}
	writeRow(w, "\nMEMBER", "ZONE", "ADDRESS", "LAST HEARD")
	for _, m := range st.Members {
		heard := formatAge(st.Now, m.LastAnswer)
		if m.ID == st.Instance {
			heard = "this instance"
		}
		writeRow(w, string(m.ID), string(m.Zone), m.Address, heard)
	}
	writeRow(w, "\nUPSTREAM", "SERVICE", "ZONE", "DISPATCHER", "STATE", "LIMIT", "IN FLIGHT", "QUEUED")
	for _, u := range st.Upstreams {
		limit, inFlight, queued := "", "", ""
		if u.Known {
			limit = fmt.Sprintf("%d of %d", u.Limit, u.Slots)
			inFlight, queued = strconv.Itoa(int(u.InFlight)), strconv.Itoa(u.Queued)
		}
		writeRow(w, string(u.ID), string(u.Service), string(u.Zone), string(u.Dispatcher), u.State, limit, inFlight, queued)
	}
	if len(st.OutOfService) == 0 {
		writeRow(w, "\nnothing is out of service")
		return
	}
	writeRow(w, "\nOUT OF SERVICE", "NAME", "BY", "SINCE")
	for _, o := range st.OutOfService {
		writeRow(w, string(o.Kind), o.Name, o.By, formatTime(o.At))
	}
}

func formatAuthority(st operator.Status) string {
	left := st.AuthorityUntil.Sub(st.Now)
	if left <= 0 {
		return "none: the instance refuses requests with no-authority"
	}
	return "until " + formatTime(st.AuthorityUntil) + " (" + left.Round(time.Millisecond).String() + ")"
}

func formatAge(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).Round(time.Millisecond).String() + " ago"
}

func explainRequest(ctx context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd, "ID"); err != nil {
		return err
	}
	return showExplanation(ctx, cmd, operator.RequestQuery{ID: fleet.RequestID(cmd.Args().First())})
}

func explainAccount(ctx context.Context, cmd *cli.Command) error {
	if err := requireArgs(cmd, "ID"); err != nil {
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
			return printJSON(s.results, x)
		}
		return writeTable(s.results, func(w io.Writer) { printExplanation(w, q, x) })
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
		writeRow(w, fmt.Sprintf("\nincomplete: %d instances answered, no answer from %s", len(x.Answered), joinIDs(x.Missing)))
	}
}

func printOwner(w io.Writer, o *operator.Ownership) {
	if o == nil {
		writeRow(w, "the key has no owner; requests for it are refused with no-owner")
		return
	}
	since := formatTime(o.Since)
	if o.Since.IsZero() {
		since = "before the instance started"
	}
	writeRow(w, "unit", o.Unit.String())
	writeRow(w, "owner", string(o.Owner))
	writeRow(w, "since", since)
	writeRow(w, "fence", o.Fence.String())
	writeRow(w, "dispatcher", string(o.Dispatcher))
	if len(o.Previous) > 0 {
		writeRow(w, "not yet released by", joinIDs(o.Previous))
	}
}

func printMoves(w io.Writer, moves []operator.Move) {
	if len(moves) == 0 {
		return
	}
	writeRow(w, "\nMOVED AT", "FROM", "TO", "FENCE", "CAUSE", "DETAIL")
	for _, m := range moves {
		writeRow(w, formatTime(m.At), string(m.From), string(m.To), m.Fence.String(), m.Cause, m.Detail)
	}
}

func printRefusals(w io.Writer, refusals []operator.RefusedRequest) {
	if len(refusals) == 0 {
		writeRow(w, "no refusal is on record")
		return
	}
	writeRow(w, "REFUSED AT", "INSTANCE", "REQUEST", "ACCOUNT", "ENTRY", "KEY", "OUTCOME", "REASON", "DETAIL")
	for _, r := range refusals {
		writeRow(w, formatTime(r.At), string(r.Instance), string(r.Request), string(r.Account), string(r.Entry), string(r.Key),
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
