package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Client calls the API of one instance and implements Backend. It never retries a
// call.
type Client struct {
	pool  *http1.Pool
	token string
}

var _ Backend = (*Client)(nil)

// NewClient returns a client of the API at addr ("IP:port") that authenticates
// with the operators' token.
func NewClient(c *http1.Client, addr, token string) *Client {
	return &Client{pool: c.NewPool(addr, http1.PoolConfig{MaxConns: 8}), token: token}
}

// Close closes the client's connections.
func (c *Client) Close() { c.pool.Close() }

// Catalogue returns the catalogue and its revision. It fails if this version of
// the program cannot parse the catalogue.
func (c *Client) Catalogue(ctx context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	var s catalogueBody
	if err := c.get(ctx, pathCatalogue, nil, &s); err != nil {
		return nil, 0, err
	}
	cat, err := catalogue.Parse("catalogue of "+c.pool.Addr(), []byte(s.yaml))
	if err != nil {
		return nil, 0, errors.Wrap(err, "the instance sent a catalogue that this version cannot read")
	}
	return cat, s.revision, nil
}

// Apply stores cat if the catalogue's revision is still base, and returns the new
// revision. Beyond the errors of Backend.Apply it returns *InvalidError for a
// refused catalogue. An *UnknownError is also returned for a lost or unreadable
// response, an *UnavailableError only if no byte of the request was sent or the
// instance reported it.
func (c *Client) Apply(ctx context.Context, base fleet.Revision, cat *catalogue.Catalogue, by string) (fleet.Revision, error) {
	req := &http1.Request{
		Method: http.MethodPut,
		Target: pathCatalogue + "?base=" + formatRevision(base),
		Header: http.Header{headerOperator: {by}},
		Body:   cat.Format(),
	}
	var s catalogueBody
	if err := c.send(ctx, req, &s); err != nil {
		return 0, err
	}
	return s.revision, nil
}

// InForce reports how far the catalogue revision rev, or a later one, has been
// put in force.
func (c *Client) InForce(ctx context.Context, rev fleet.Revision) (Progress, error) {
	var p Progress
	err := c.get(ctx, pathInForce, url.Values{"revision": {formatRevision(rev)}}, &p)
	return p, err
}

// Status returns the state of the fleet as the instance sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, pathStatus, nil, &s)
	return s, err
}

// Explain asks the instance to answer q.
func (c *Client) Explain(ctx context.Context, q Query) (Explanation, error) {
	var x Explanation
	err := c.get(ctx, pathExplain, QueryValues(q), &x)
	return x, err
}

func formatRevision(r fleet.Revision) string { return strconv.FormatUint(uint64(r), 10) }

type decodable interface{ Decode(d *jx.Decoder) error }

func (c *Client) get(ctx context.Context, path string, query url.Values, out decodable) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.send(ctx, &http1.Request{Method: http.MethodGet, Target: path}, out)
}

func (c *Client) send(ctx context.Context, req *http1.Request, out decodable) error {
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.pool.Do(ctx, req)
	if err != nil {
		return transportError(req.Method, err)
	}
	if res.Status != http.StatusOK {
		return c.responseError(req.Method, res)
	}
	if err := out.Decode(jx.DecodeBytes(res.Body)); err != nil {
		err = errors.Wrapf(err, "response of %s", c.pool.Addr())
		if req.Method == http.MethodPut {
			return &UnknownError{err}
		}
		return err
	}
	return nil
}

// transportError classifies an error without a response: a PUT of which any byte
// was sent may have been stored; everything else had no effect.
func transportError(method string, err error) error {
	var notSent *http1.NotSentError
	if method == http.MethodPut && !errors.As(err, &notSent) {
		return &UnknownError{err}
	}
	return &UnavailableError{err}
}

// responseError converts an error response to the error that the backend returned.
func (c *Client) responseError(method string, res *http1.Response) error {
	var f errorBody
	if err := f.Decode(jx.DecodeBytes(res.Body)); err != nil || f.kind == "" {
		err := errors.Errorf("%s answered with status %d and no explanation", c.pool.Addr(), res.Status)
		if method == http.MethodPut {
			return &UnknownError{err}
		}
		return err
	}
	switch f.kind {
	case kindConflict:
		return &f.conflict
	case kindInvalid:
		return &InvalidError{f.detail}
	case kindUnknown:
		return &UnknownError{errors.New(f.detail)}
	case kindUnavailable:
		return &UnavailableError{errors.New(f.detail)}
	case kindInternal:
		if method == http.MethodPut {
			return &UnknownError{errors.New(f.detail)}
		}
	}
	return &apiError{f.kind, f.detail}
}
