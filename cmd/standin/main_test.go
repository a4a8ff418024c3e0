package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against a test double that prints an address on which it does not listen, or
// that does not end when its context is cancelled.
func TestReadyLine(t *testing.T) {
	for _, name := range []string{"store", "relay"} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("STANDIN_"+strings.ToUpper(name)+"_LISTEN", "127.0.0.1:0")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r, w := io.Pipe()
			root := newRoot()
			root.Writer = w
			ended := make(chan error, 1)
			go func() {
				err := root.Run(ctx, []string{"standin", name})
				_ = w.CloseWithError(io.EOF)
				ended <- err
			}()
			line, err := bufio.NewReader(r).ReadString('\n')
			if err != nil {
				t.Fatalf("read the ready line: %v", err)
			}
			addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
			if !ok {
				t.Fatalf("ready line %q", line)
			}
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
			cancel()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}
