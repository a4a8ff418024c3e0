//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is an upstream of an unsharded service that writes its answers byte by byte, so that
// it can answer in any form.
type worker struct {
	id, service, zone string
	rec               *record
	born              int64
	ln                net.Listener
	work              time.Duration
	closeShare        float64 // of the sound answers that close their connections
	// respond answers requests. If it is nil, the worker answers as a sound one.
	respond respond

	mu  sync.Mutex
	seq int
}

// respond writes the answer to a request, the nth on its connection, and reports whether the
// connection stays open.
type respond = func(w *worker, c net.Conn, req *http.Request, nth int) bool

// startWorker starts a worker and registers it.
func startWorker(f *fleet, id, service, zone string, work time.Duration) (*worker, *registered, error) {
	ln, err := net.Listen("tcp", f.network+".100:0")
	if err != nil {
		return nil, nil, err
	}
	w := &worker{id: id, service: service, zone: zone, rec: f.rec, born: time.Now().UnixMilli(), ln: ln, work: work}
	go w.accept()
	return w, f.register(w.entry), nil
}

// entry returns the entry of the worker in the store.
func (w *worker) entry() (key, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return "servers/" + w.id, fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":6},"status":{"state":"ready","seq":%d,"coldLeft":"0ms"}}`,
		w.born, w.ln.Addr(), w.service, w.zone, w.seq)
}

func (w *worker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for nth := 1; ; nth++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.Header.Get("Expect-Instance") != w.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		id := req.Header.Get("Request-Id")
		w.rec.add("worker %s runs %s %s %s", w.id, id, req.Method, req.RequestURI)
		time.Sleep(w.work)
		respond := w.respond
		if respond == nil {
			respond = (*worker).sound
		}
		if !respond(w, c, req, nth) {
			return
		}
	}
}

// bodyFor returns the body of the answer to a request.
func bodyFor(id string) string { return strings.Repeat(id+"\n", 20) }

func sealFor(id string) string { return "seal-" + id }

// sound answers as a sound worker.
func (w *worker) sound(c net.Conn, req *http.Request, _ int) bool {
	id := req.Header.Get("Request-Id")
	body, last := bodyFor(id), ""
	if rand.Float64() < w.closeShare {
		last = "Connection: close\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nServer-Load: 1,0,6,100\r\nContent-Type: text/plain\r\n%sContent-Length: %d\r\n\r\n%s", id, sealFor(id), last, len(body), body)
	return err == nil && last == ""
}
