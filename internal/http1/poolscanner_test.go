package http1

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
)

// Guards against a scanner that takes a part of a body for a head, or the reverse, and against a
// malformed response that takes the one before with it.
func TestResponseScannerFollowsResponses(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\n\r\n"
		last    = okLine + okBody
	)
	sound := strings.Join(slices.Sorted(maps.Values(soundHeads)), interim)
	for _, size := range []int{1, 2, 3, 7, 64, 1000, len(sound)} {
		var s responseScanner
		for part := range slices.Chunk([]byte(sound), size) {
			if n, err := s.scan(part); err != nil || n != len(part) {
				t.Fatalf("parts of %d bytes: %d of %d accepted, error %v", size, n, len(part), err)
			}
		}
		n, err := s.scan([]byte(last + okLine + "X-Trace : 1\r\n\r\n"))
		if diff := cmp.Diff([]any{len(last), true}, []any{n, errors.Is(err, ErrFieldLine)}); diff != "" {
			t.Errorf("parts of %d bytes: accepted of the last two responses, refused: %s", size, diff)
		}
	}
}
