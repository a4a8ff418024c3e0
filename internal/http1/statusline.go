package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrStatusLine is what a LostError wraps if a response does not begin with a status line of
// HTTP/1 that contains a valid status, or if its status is 101, which no request asks for.
var ErrStatusLine = errors.New("the response has no valid status line")

// The statuses of HTTP. Those below minFinalStatus are interim.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// statusLineForm is the form of the beginning of a status line, with 0 for any digit.
const statusLineForm = "HTTP/1.0 000"

// checkStatusLine returns ErrStatusLine if what r reads next is not the beginning of a status
// line, as soon as the bytes that have arrived show that. net/http accepts statuses that
// are not valid, such as 000, 999 and +20, and versions other than HTTP/1.
//
// The space behind the status may be missing if there is no reason phrase, as many servers
// leave it out.
func checkStatusLine(r *bufio.Reader) error {
	for i := range len(statusLineForm) + 1 {
		line, err := r.Peek(i + 1)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !inStatusLine(i, line[i]) {
			return errors.Wrapf(ErrStatusLine, "it begins with %q", line)
		}
	}
	return nil
}

// inStatusLine reports whether the byte at index i of a status line may be c.
func inStatusLine(i int, c byte) bool {
	const status = len(statusLineForm) - 3 // index
	switch {
	case i == status:
		return c >= '0'+minStatus/100 && c <= '0'+maxStatus/100
	case i == len(statusLineForm):
		return c == ' ' || c == '\r' || c == '\n'
	case statusLineForm[i] == '0':
		return c >= '0' && c <= '9'
	}
	return c == statusLineForm[i]
}

// checkStatus returns ErrStatusLine if the reason phrase of res contains control characters,
// or if res switches to another protocol: what follows is no response.
func checkStatus(res *http.Response) error {
	if strings.ContainsFunc(res.Status, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
		return errors.Wrapf(ErrStatusLine, "reason phrase %q", res.Status)
	}
	if res.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrStatusLine, res.Status)
	}
	return nil
}
