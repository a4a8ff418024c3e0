package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	lengthRounds  = 10
	lengthTimeout = time.Second
)

// playLengths sends check-ins whose body is the text of another request. With trouble, a
// check-in states its length twice, first as 0; without, once.
func playLengths(g *rig, trouble bool) (bool, error) {
	var mu sync.Mutex
	sent, unasked, surplus := make(map[string]bool), 0, 0
	err := g.addUpstreams(3, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		mu.Lock()
		if !sent[id] {
			unasked++
		}
		g.notef("run       %s %s, id %s, %d bytes, sent by a client: %t", r.Method, r.RequestURI, id, n, sent[id])
		mu.Unlock()
		w.Header().Set("Server-Seal", "seal-"+id)
		_, _ = io.WriteString(w, id) // fails if the router has closed the connection
	})
	if err == nil {
		err = g.startInstances(1)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	for i := range lengthRounds {
		id, inner := fmt.Sprint("outer-", i+1), fmt.Sprint("inner-", i+1)
		mu.Lock()
		sent[id] = true
		mu.Unlock()
		answers, err := g.sendLengths(id, inner, trouble)
		if err != nil {
			return false, err
		}
		if answers > 1 {
			surplus++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	g.notef("%d check-ins sent; %d requests ran that no client sent; %d check-ins got a second success", lengthRounds, unasked, surplus)
	return unasked > 0, nil
}

// sendLengths sends one check-in and returns the number of its successful answers.
func (g *rig) sendLengths(id, inner string, trouble bool) (answers int, err error) {
	conn, err := net.Dial("tcp", g.instances[0].ip+":8388")
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	const header = "Host: kiosk.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 1000\r\nApi-Key: key-acme\r\n"
	body := fmt.Sprintf("GET /read/a HTTP/1.1\r\n"+header+"\r\n", inner)
	lengths := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if trouble {
		lengths = "Content-Length: 0\r\n" + lengths
	}
	g.notef("sent      %s with %q and a body of %d bytes", id, lengths, len(body))
	if _, err := fmt.Fprintf(conn, "POST /checkin/a HTTP/1.1\r\n"+header+"%s\r\n%s", id, lengths, body); err != nil {
		return 0, err
	}
	if err := conn.SetReadDeadline(time.Now().Add(lengthTimeout)); err != nil {
		return 0, err
	}
	reader := bufio.NewReader(conn)
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			g.notef("%s: no further answer", id)
			return answers, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return answers, nil
		}
		g.notef("answer    %s: %s for id %s", id, res.Status, res.Header.Get("Request-Id"))
		if res.StatusCode == http.StatusOK {
			answers++
		}
	}
}
