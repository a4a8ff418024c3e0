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

// HeaderClientID carries the id that the load generator gave to a request.
const HeaderClientID = "X-Client-Id"

// Outcomes of a request from the caller's point of view.
const (
	OutcomeServed  = "served"
	OutcomeNotRun  = string(fleet.NotRun)
	OutcomeUnknown = string(fleet.Unknown)
	OutcomeFailed  = "failed" // the response is an error but no refusal
	OutcomeWrong   = "wrong"  // the response belongs to another request or is corrupt
)

// Reasons that the generator records in addition to those of refusals.
const (
	reasonGeneratorFull  = "generator-full"
	reasonNotSent        = "not-sent"
	reasonNoAnswer       = "no-answer"
	reasonConnectionLost = "connection-lost"
)

// request is a request that has arrived at the generator.
type request struct {
	arrival    time.Time // scheduled arrival
	account    Account
	entryIndex int
	key        fleet.RoutingKey
	id         string
	target     Target
}

// result is the result of a request, as the history records it.
type result struct {
	end       time.Time
	status    int
	requestID string
	outcome   string
	reason    string
	whole     bool
}

func (g *Generator) send(r request) result {
	deadline := r.arrival.Add(g.cfg.NetworkDelay + g.cfg.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(lateAnswerWait))
	defer cancel()
	res, err := g.pools[r.target.Name].Do(ctx, g.buildRequest(r, deadline))
	out := result{end: time.Now()}
	var notSent *http1.NotSentError
	switch {
	case errors.As(err, &notSent):
		out.outcome, out.reason = OutcomeNotRun, reasonNotSent
	case errors.Is(err, context.DeadlineExceeded):
		out.outcome, out.reason = OutcomeUnknown, reasonNoAnswer
	case err != nil:
		out.outcome, out.reason = OutcomeUnknown, reasonConnectionLost
	default:
		out.status, out.requestID = res.Status, res.Header.Get(fleet.HeaderRequestID)
		out.classify(r, res)
	}
	return out
}

func (g *Generator) buildRequest(r request, deadline time.Time) *http1.Request {
	e := g.cfg.Entries[r.entryIndex]
	h := http.Header{}
	h.Set(HeaderClientID, r.id)
	h.Set(fleet.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if g.cfg.Direct {
		SetUpstreamHeaders(h, time.Now(), UpstreamRequest{ID: r.id, Account: r.account.ID, Key: r.key, Deadline: deadline})
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

// classify sets the outcome of a response. A response is whole only if it echoes
// the request's id. Refusals, which have an outcome header, need not echo it,
// because the request may not have reached an upstream.
func (out *result) classify(r request, res *http1.Response) {
	if outcome := res.Header.Get(fleet.HeaderOutcome); outcome != "" {
		out.outcome, out.reason = outcome, res.Header.Get(fleet.HeaderReason)
		echo := res.Header.Get(HeaderClientID)
		out.whole = jx.Valid(res.Body) && (echo == "" || echo == r.id)
		if !out.whole {
			out.outcome = OutcomeWrong
		}
		return
	}
	out.whole = res.Header.Get(HeaderClientID) == r.id && bodyMatches(res.Body, r)
	switch {
	case !out.whole:
		out.outcome = OutcomeWrong
	case res.Status == http.StatusOK:
		out.outcome = OutcomeServed
	default:
		out.outcome = OutcomeFailed
	}
}

// bodyMatches reports whether the body is valid JSON and names the account and
// the routing key of r.
func bodyMatches(body []byte, r request) bool {
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
