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
	serviceTime    = 290 * time.Millisecond // work of a check-in
	kiosksPerFront = 12
	playTime       = 10 * time.Second
	uploads        = 3
	maxBodyBytes   = 67108864   // limits.maxBodyBytes of the configuration
	smallBodyBytes = 1800       // largest check-in of the site
	uploadRate     = 25_000_000 // bytes per second; all uploads together use 600 of the 1,000 Mbit/s
	uploadStep     = 20 * time.Millisecond
	maxLost        = 3 // the rule allows that many
)

// checkin is what is known of one check-in of a kiosk.
type checkin struct {
	runs     int  // at upstreams
	kept     bool // sent on a connection that had carried a request before
	answered bool
}

// journal contains all check-ins by their request ids.
type journal struct {
	mu       sync.Mutex
	checkins map[string]*checkin
}

func (j *journal) update(id string, f func(c *checkin)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.checkins[id] == nil {
		j.checkins[id] = &checkin{}
	}
	f(j.checkins[id])
}

// playUploads lets kiosks check visitors in over kept connections, while a few callers each
// send one check-in with a body of the largest size that the configuration allows. Without
// trouble these have the largest body of the site's usual traffic.
func playUploads(g *rig, trouble bool) (bool, error) {
	j := &journal{checkins: make(map[string]*checkin)}
	err := g.addUpstreams(8, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		j.update(id, func(c *checkin) { c.runs++ })
		g.notef("run       %s (%d bytes)", id, n)
		select {
		case <-time.After(serviceTime):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Server-Seal", "seal-"+id)
		_, _ = io.WriteString(w, id) // fails if the router has closed the connection
	})
	if err == nil {
		err = g.startInstances(3)
	}
	if err != nil {
		return false, err
	}
	for _, in := range g.instances {
		g.loops.Go(func() { g.enforceMemoryLimit(in) })
	}
	end := time.Now().Add(calmTime + playTime)
	var callers sync.WaitGroup
	for i, in := range g.instances {
		for k := range kiosksPerFront {
			callers.Go(func() {
				time.Sleep(serviceTime * time.Duration(k) / kiosksPerFront) // kiosks are not in step
				g.runKiosk(j, in, fmt.Sprintf("k%d-%d", i+1, k+1), end)
			})
		}
	}
	time.Sleep(calmTime)
	size := smallBodyBytes
	if trouble {
		size = maxBodyBytes
	}
	for i := range uploads {
		callers.Go(func() { g.upload(g.instances[0], fmt.Sprint("upload-", i+1), size) })
	}
	callers.Wait()
	lost := 0
	for id, c := range j.checkins {
		if c.runs > 0 && c.kept && !c.answered {
			lost++
			g.notef("lost      %s: it ran, and its kept connection was closed without an answer", id)
		}
	}
	g.notef("%d check-ins of kiosks and uploads, %d lost; the rule allows %d", len(j.checkins), lost, maxLost)
	return lost > maxLost, nil
}

// runKiosk sends check-ins, one after the other, over a kept connection to in, and opens a
// new one when it ends.
func (g *rig) runKiosk(j *journal, in *instance, name string, end time.Time) {
	for n := 0; time.Now().Before(end); {
		conn, err := net.Dial("tcp", in.ip+":8388")
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for kept := false; time.Now().Before(end); kept = true {
			n++
			id := fmt.Sprintf("%s-%d", name, n)
			j.update(id, func(c *checkin) { c.kept = kept })
			g.notef("sent      %s", id)
			status, err := checkIn(conn, reader, id)
			if err != nil {
				g.notef("no answer %s: %v", id, err)
				break
			}
			j.update(id, func(c *checkin) { c.answered = true })
			g.notef("answer    %s: %s", id, status)
		}
		_ = conn.Close()
	}
}

// checkIn sends a check-in with a small body and returns the status of its answer.
func checkIn(conn net.Conn, reader *bufio.Reader, id string) (string, error) {
	body := "visitor at the door"
	if err := conn.SetDeadline(time.Now().Add(8 * time.Second)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(conn, "POST /checkin/a HTTP/1.1\r\nHost: kiosk.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 3000\r\nApi-Key: key-acme\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		return "", err
	}
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.Status, err
}

// upload sends one check-in with a body of size bytes at uploadRate.
func (g *rig) upload(in *instance, id string, size int) {
	conn, err := net.Dial("tcp", in.ip+":8388")
	if err != nil {
		g.notef("no connection for %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	g.notef("sent      %s: %d bytes begin", id, size)
	_, err = fmt.Fprintf(conn, "POST /checkin/a HTTP/1.1\r\nHost: kiosk.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: 6000\r\nApi-Key: key-acme\r\nContent-Length: %d\r\n\r\n", id, size)
	piece := make([]byte, uploadRate/int(time.Second/uploadStep))
	for begin, sent := time.Now(), 0; err == nil && sent < size; {
		n := min(len(piece), size-sent)
		_, err = conn.Write(piece[:n])
		sent += n
		due := begin.Add(time.Duration(float64(sent) / uploadRate * float64(time.Second)))
		time.Sleep(time.Until(due))
	}
	if err != nil {
		g.notef("no answer %s: %v", id, err)
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		g.notef("no answer %s: %v", id, err)
		return
	}
	_ = res.Body.Close()
	g.notef("answer    %s: %s", id, res.Status)
}
