//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Doses of headCase: those of "garble" on the site svsa-riders.
const (
	garbledShare = 0.5  // of the workers; 0.6 on the site
	garbledPart  = 0.05 // of their answers
	closeShare   = 0.1  // of all sound answers, which is no disruption
	// garbledFirst is the part of the first answers of connections, a tenth of all, that
	// strangerAnswer garbles.
	garbledFirst = 0.15
)

// headCase checks MIXED while some answers of some workers have a malformed head.
func headCase(rec *record, trouble bool) int {
	return mixedCase(rec, trouble, 250, malformedHead)
}

// sealCase checks MIXED while some workers send, in place of some answers, bytes that lack
// the request's id and the receipt.
func sealCase(rec *record, trouble bool) int {
	return mixedCase(rec, trouble, 500, strangerAnswer)
}

// codingCase checks MIXED while some workers send some answers in HTTP/1.0 with a transfer
// coding, which that version does not have.
func codingCase(rec *record, trouble bool) int {
	return mixedCase(rec, trouble, 250, codedAnswer)
}

// mixedCase checks MIXED while garbledShare of the workers answer by faulty. Each client sends
// the given number of requests, half of them unsafe.
func mixedCase(rec *record, trouble bool, requests int, faulty respond) int {
	f, err := startFleet(rec, standardConfig)
	if err != nil {
		rec.add("start: %v", err)
		return failed
	}
	defer f.close()
	const workers, clients = 4, 12
	for i := range workers {
		w, _, err := startWorker(f, fmt.Sprint("w", i+1), "desk", fmt.Sprint("z", i%3+1), 5*time.Millisecond)
		if err != nil {
			return failed
		}
		w.closeShare = closeShare
		if trouble && float64(i) < garbledShare*workers {
			w.respond = faulty
		}
	}
	for i := range 3 {
		if _, err := f.addInstance(fmt.Sprint("front-", i+1), fmt.Sprint("z", i+1), true); err != nil {
			rec.add("start: %v", err)
			return failed
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return failed
	}
	time.Sleep(2 * time.Second) // workers are cold at first
	var bad, served atomic.Int32
	var g sync.WaitGroup
	for i := range clients {
		g.Go(func() {
			c := &client{addr: f.instances[i%3].addr(frontPort)}
			defer c.close()
			for n := range requests {
				id := fmt.Sprintf("r%02d%04d", i, n)
				method, prefix := "GET", "/read/"
				if n%2 == 1 {
					method, prefix = "POST", "/book/"
				}
				rec.add("client sends %s %s%s", method, prefix, id)
				h, body, err := c.do(call{method: method, target: prefix + id, host: host, id: id, key: "key-acme", timeout: 1500 * time.Millisecond})
				switch {
				case err != nil:
					rec.add("client %s: no answer: %v", id, err)
				case h.fault != "":
					bad.Add(1)
					rec.add("client %s: status %d, no answer in the protocol: %s; head %q", id, h.status, h.fault, strings.Join(h.raw, ""))
				case h.status == 200 && (h.header["server-seal"] != sealFor(id) || body != bodyFor(id)):
					bad.Add(1)
					rec.add("client %s: success with seal %q and body %.60q", id, h.header["server-seal"], body)
				case h.status == 200:
					served.Add(1)
					rec.add("client %s: status 200, as the worker answered", id)
				default:
					rec.add("client %s: status %d", id, h.status)
				}
			}
		})
	}
	g.Wait()
	rec.add("%d requests served, %d answers break MIXED", served.Load(), bad.Load())
	switch {
	case bad.Load() > 0:
		return broken
	case int(served.Load()) < clients*requests*9/10:
		return failed
	}
	return held
}

// malformedHead answers as a sound worker but for garbledPart of the answers, in whose head
// there is a space between a name and its colon.
func malformedHead(w *worker, c net.Conn, req *http.Request, nth int) bool {
	if rand.Float64() >= garbledPart {
		return w.sound(c, req, nth)
	}
	id := req.Header.Get("Request-Id")
	b := bodyFor(id)
	lines := [][]string{
		{"X-Trace : 1", fmt.Sprintf("Content-Length: %d", len(b))},
		{fmt.Sprintf("Content-Length : %d", len(b)), "Connection: close"},
		{"Transfer-Encoding : chunked", "Connection: close"},
	}[rand.IntN(3)]
	if strings.HasPrefix(lines[0], "Transfer") {
		b = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(b), b)
	}
	w.rec.add("worker %s answers %s with the malformed line %q", w.id, id, lines[0])
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\n%s\r\n\r\n%s", id, sealFor(id), strings.Join(lines, "\r\n"), b)
	return err == nil && lines[1] != "Connection: close"
}

// strangerAnswer answers as a sound worker but for garbledFirst of the first answers of its
// connections, in place of which it sends those of a server that knows nothing of the
// protocol.
func strangerAnswer(w *worker, c net.Conn, req *http.Request, nth int) bool {
	if nth > 1 || rand.Float64() >= garbledFirst {
		return w.sound(c, req, nth)
	}
	w.rec.add("worker %s answers %s with bytes without the id and the receipt", w.id, req.Header.Get("Request-Id"))
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\nConnection: close\r\n\r\nIt works!")
	return false
}

// codedAnswer answers as a sound worker but for garbledPart of the answers, which are in
// HTTP/1.0 and in chunks.
func codedAnswer(w *worker, c net.Conn, req *http.Request, nth int) bool {
	if rand.Float64() >= garbledPart {
		return w.sound(c, req, nth)
	}
	id := req.Header.Get("Request-Id")
	b := bodyFor(id)
	w.rec.add("worker %s answers %s in HTTP/1.0 and in chunks", w.id, id)
	_, _ = fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, sealFor(id), len(b), b)
	return false
}
