package load

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// HeaderClientID carries the load generator's own id of a request.
const HeaderClientID = "X-Client-Id"

// Outcomes of a request as its caller sees them.
const (
	OutcomeServed  = "served"
	OutcomeNotRun  = string(fleet.NotRun)
	OutcomeUnknown = string(fleet.Unknown)
	OutcomeFailed  = "failed" // answered with an error that is not a refusal
	OutcomeWrong   = "wrong"  // the answer belongs to another request or is damaged
)

// Reasons that the generator adds to those of refusals.
const (
	reasonGenerator = "generator-full"
	reasonNotSent   = "not-sent"
	reasonNoAnswer  = "no-answer"
	reasonLost      = "connection-lost"
)

// request is one arrival.
type request struct {
	at      time.Time // planned arrival
	account Account
	entry   int
	key     fleet.RoutingKey
	id      string
	target  Target
}

// result is how a request ended.
type result struct {
	end       time.Time
	status    int
	requestID string
	outcome   string
	reason    string
	whole     bool
}

func (g *Generator) send(r request) result {
	deadline := r.at.Add(g.cfg.Delay + g.cfg.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(answerMargin))
	defer cancel()
	res, err := g.pools[r.target.Name].Do(ctx, g.build(r, deadline))
	out := result{end: time.Now()}
	var notSent *http1.NotSentError
	switch {
	case errors.As(err, &notSent):
		out.outcome, out.reason = OutcomeNotRun, reasonNotSent
	case errors.Is(err, context.DeadlineExceeded):
		out.outcome, out.reason = OutcomeUnknown, reasonNoAnswer
	case err != nil:
		out.outcome, out.reason = OutcomeUnknown, reasonLost
	default:
		out.status, out.requestID = res.Status, res.Header.Get(fleet.HeaderRequestID)
		out.judge(r, res)
	}
	return out
}

func (g *Generator) build(r request, deadline time.Time) *http1.Request {
	e := g.cfg.Entries[r.entry]
	h := http.Header{}
	h.Set(HeaderClientID, r.id)
	h.Set(fleet.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if g.cfg.Direct {
		SetUpstreamHeaders(h, time.Now(), Outgoing{ID: r.id, Account: r.account.ID, Key: r.key, Deadline: deadline})
	} else {
		h.Set("Authorization", "Bearer "+string(r.account.Key))
	}
	req := &http1.Request{Method: http.MethodGet, Target: e.Prefix + string(r.key), Header: h}
	if e.Class == catalogue.NonIdempotent {
		req.Method, req.Body = http.MethodPost, []byte(`{"client-id":"`+r.id+`"}`)
		h.Set("Content-Type", "application/json")
	}
	return req
}

// judge classifies an answer. Only an answer that echoes the request's id counts
// as whole, except for refusals, which never reached an upstream or carry the
// outcome in a header.
func (out *result) judge(r request, res *http1.Response) {
	if o := res.Header.Get(fleet.HeaderOutcome); o != "" {
		out.outcome, out.reason = o, res.Header.Get(fleet.HeaderReason)
		echo := res.Header.Get(HeaderClientID)
		out.whole = jx.Valid(res.Body) && (echo == "" || echo == r.id)
		if !out.whole {
			out.outcome = OutcomeWrong
		}
		return
	}
	out.whole = res.Header.Get(HeaderClientID) == r.id && ownBody(res.Body, r)
	switch {
	case !out.whole:
		out.outcome = OutcomeWrong
	case res.Status == http.StatusOK:
		out.outcome = OutcomeServed
	default:
		out.outcome = OutcomeFailed
	}
}

// ownBody reports whether an upstream's body is intact and belongs to r.
func ownBody(body []byte, r request) bool {
	var account, key string
	err := jx.DecodeBytes(body).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "account":
			account, err = d.Str()
		case "key":
			key, err = d.Str()
		default:
			err = d.Skip()
		}
		return err
	})
	return err == nil && account == string(r.account.ID) && key == string(r.key)
}
