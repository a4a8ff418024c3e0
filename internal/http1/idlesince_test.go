package http1

import (
	"sync"
	"testing"
	"time"
)

// Guards against an idle time that includes the writing of the last response: a caller that
// has read a large one slowly would find its connection closed before IdleTimeout.
func TestIdleTimeBeginsAfterTheResponse(t *testing.T) {
	s := &Server{}
	c := &serverConn{server: s, inFlight: make(map[*exchange]struct{})}
	c.pipeline.conn, c.slotFinished = c, sync.NewCond(&s.mu)
	x := &exchange{conn: c, cancel: func() {}}
	slot := c.pipeline.addSlot()
	if !s.startRequest(x) {
		t.Fatal("the request did not start")
	}
	s.endRequest(x)
	writtenAt := time.Now() // the response is written between endRequest and finishSlot
	s.finishSlot(slot)
	if c.idleSince.Before(writtenAt) {
		t.Errorf("idle since %v before the response was written", writtenAt.Sub(c.idleSince))
	}
}
