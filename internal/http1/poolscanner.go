package http1

import (
	"bytes"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/lesismal/nbio"
)

// ErrChunkSize is what a LostError of a Pool wraps if the size of a chunk is malformed.
var ErrChunkSize = errors.New("the response has a malformed chunk size")

// responsePart is a part of a response.
type responsePart int

const (
	partHead responsePart = iota
	partBody              // with a length
	partChunkSize
	partChunk // with the line end behind it
	partTrailer
)

// responseScanner checks the heads and trailers of the responses on a connection of a Pool,
// before nbhttp's parser, which removes white space around the names of fields and accepts control
// characters in values. To find the heads it frames the responses as that parser does.
type responseScanner struct {
	part responsePart
	head headScanner // of partHead and partTrailer
	size []byte      // beginning of the line of partChunkSize
	left int64       // bytes of partBody and partChunk
}

// scanResponses makes c pass only the bytes on to its data handler that a responseScanner accepts.
// It closes c with the error of the scanner.
func scanResponses(c *nbio.Conn) {
	var s responseScanner
	next := c.DataHandler()
	c.OnData(func(c *nbio.Conn, data []byte) {
		n, err := s.scan(data)
		if n > 0 {
			next(c, data[:n])
		}
		if err != nil {
			_ = c.CloseWithError(err)
		}
	})
}

// scan checks the next bytes of a connection. It returns how many of them may be parsed: if one of
// them is not accepted, those of the responses before.
func (s *responseScanner) scan(p []byte) (accepted int, err error) {
	for i := 0; i < len(p); {
		n, err := s.scanPart(p[i:])
		if err != nil {
			return accepted, err
		}
		if i += n; s.part == partHead && !s.head.inFields && len(s.head.partial) == 0 {
			accepted = i
		}
	}
	return len(p), nil
}

// scanPart checks the beginning of p that belongs to the present part, and returns its size.
func (s *responseScanner) scanPart(p []byte) (n int, err error) {
	switch s.part {
	case partHead, partTrailer:
		if n, err = s.head.scan(p); err == nil && s.head.ended {
			s.endHead()
		}
	case partBody, partChunk:
		n = int(min(s.left, int64(len(p))))
		if s.left -= int64(n); s.left == 0 && s.part == partBody {
			s.begin(partHead)
		} else if s.left == 0 {
			s.begin(partChunkSize)
		}
	case partChunkSize:
		n = bytes.IndexByte(p, '\n') + 1
		if n == 0 {
			n = len(p)
		}
		if s.size = append(s.size, p[:n]...); s.size[len(s.size)-1] == '\n' {
			err = s.endChunkSize()
		}
	}
	return n, err
}

func (s *responseScanner) begin(part responsePart) {
	s.part, s.head, s.size = part, headScanner{inFields: part == partTrailer}, s.size[:0]
}

// endHead begins the part behind a head or trailer.
func (s *responseScanner) endHead() {
	switch {
	case s.part == partHead && s.head.chunked:
		s.begin(partChunkSize)
	case s.part == partHead && s.head.length > 0:
		s.left = s.head.length
		s.begin(partBody)
	default:
		s.begin(partHead)
	}
}

// endChunkSize begins the part behind the line with the size of a chunk.
func (s *responseScanner) endChunkSize() error {
	line, ok := bytes.CutSuffix(s.size, []byte("\r\n"))
	if !ok || bytes.ContainsFunc(line, isControl) {
		return errors.Wrapf(ErrChunkSize, "%.100q", s.size)
	}
	digits := line[:len(line)-len(bytes.TrimLeft(line, "0123456789abcdefABCDEF"))]
	size, err := strconv.ParseInt(string(digits), 16, 63)
	if err != nil {
		return errors.Wrapf(ErrChunkSize, "%.100q", s.size)
	}
	if size == 0 {
		s.begin(partTrailer)
		return nil
	}
	s.left = size + int64(len("\r\n"))
	s.begin(partChunk)
	return nil
}
