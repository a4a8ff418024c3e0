package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// attempt is one attempt of a caller and its answer.
type attempt struct {
	id       string
	class    string
	key      int // -1: none
	instance *instance
	kept     bool // sent on a connection that had carried a request before
	sentAt   time.Time
	status   int // 0: no answer
	seal     string
	body     string
	err      error
}

// class is a kind of request.
type class struct {
	name, method, host, path string
	perSecond                float64
	deadline                 time.Duration
	key                      func() int // nil: the requests have no keys
}

// callers sends requests at the rates of the classes and keeps the results.
type callers struct {
	d     *deployment
	token string

	mu       sync.Mutex
	idle     map[*instance][]*callerConn
	attempts []attempt
	seq      int
	group    sync.WaitGroup
}

type callerConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

func newCallers(d *deployment, token string) *callers {
	return &callers{d: d, token: token, idle: make(map[*instance][]*callerConn)}
}

// run sends requests of all classes for the given time, and waits for their answers.
func (c *callers) run(list []class, d time.Duration) {
	end := time.Now().Add(d)
	var senders sync.WaitGroup
	for _, cl := range list {
		senders.Go(func() {
			for next := time.Now(); next.Before(end); {
				next = next.Add(time.Duration(rand.ExpFloat64() / cl.perSecond * float64(time.Second)))
				time.Sleep(time.Until(next))
				c.group.Go(func() { c.send(cl) })
			}
		})
	}
	senders.Wait()
	c.group.Wait()
}

// pick returns a random instance in the zone of a random caller.
func (d *deployment) pick() *instance {
	zone, at := 0, rand.Float64()
	for at >= callerShares[zone] && zone < len(zones)-1 {
		at -= callerShares[zone]
		zone++
	}
	var list []*instance
	for _, in := range d.instances {
		if in.zone == zones[zone] {
			list = append(list, in)
		}
	}
	return list[rand.IntN(len(list))]
}

// send makes one attempt at an instance in the zone of the caller.
func (c *callers) send(cl class) {
	in := c.d.pick()
	c.mu.Lock()
	c.seq++
	a := attempt{id: fmt.Sprintf("%08x%08x", rand.Uint32(), c.seq), class: cl.name, key: -1, instance: in}
	c.mu.Unlock()
	if cl.key != nil {
		a.key = cl.key()
	}
	a.sentAt = time.Now()
	c.exchange(cl, &a)
	o := c.d.seen(a.id)
	c.d.rec.printf("%.3f %s %s key %d to %s kept %t: %d %s %v; arrived %d ran %d answered %v",
		a.sentAt.Sub(c.d.rec.startedAt).Seconds(), a.id, a.class, a.key, in.name, a.kept, a.status, a.seal, a.err, o.arrived, o.ran, o.statuses)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// exchange sends a request and reads its answer.
func (c *callers) exchange(cl class, a *attempt) {
	conn, err := c.conn(a.instance)
	if err != nil {
		a.err = err
		return
	}
	a.kept, conn.used = conn.used, true
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nApi-Key: %s\r\n", cl.method, cl.path, cl.host, a.id, cl.deadline.Milliseconds(), c.token)
	if a.key >= 0 {
		head += fmt.Sprintf("Shard-Key: %d\r\n", a.key)
	}
	if cl.method == http.MethodPost {
		head += "Content-Length: 2\r\n\r\nhi"
	} else {
		head += "\r\n"
	}
	_ = conn.SetDeadline(a.sentAt.Add(cl.deadline))
	if _, a.err = io.WriteString(conn, head); a.err != nil {
		_ = conn.Close()
		return
	}
	res, err := http.ReadResponse(conn.r, &http.Request{Method: cl.method})
	if err != nil {
		a.err = err
		_ = conn.Close()
		return
	}
	body, err := io.ReadAll(res.Body)
	a.status, a.seal, a.body, a.err = res.StatusCode, res.Header.Get("Server-Seal"), string(body), err
	if err != nil || res.Close {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[a.instance] = append(c.idle[a.instance], conn)
}

// conn returns an idle connection to an instance, or a new one.
func (c *callers) conn(in *instance) (*callerConn, error) {
	c.mu.Lock()
	if list := c.idle[in]; len(list) > 0 {
		conn := list[len(list)-1]
		c.idle[in] = list[:len(list)-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", in.ip, c.d.ports[0]), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc, r: bufio.NewReader(nc)}, nil
}

// closedWithoutAnswer reports whether err states that the instance closed the connection.
func closedWithoutAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
