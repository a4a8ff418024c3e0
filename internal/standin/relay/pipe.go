package relay

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// relayed is a client's connection with its counterpart to the target.
type relayed struct {
	name           string // of the client; empty: not known
	client, target *net.TCPConn
	up, down       *pipe // to the target, to the client
}

func (c *relayed) follow(b behaviours) {
	c.up.set(b.toTarget)
	c.down.set(b.toClient)
}

// run forwards until both directions have ended or one has failed.
func (c *relayed) run() {
	var wg sync.WaitGroup
	for _, p := range []*pipe{c.up, c.down} {
		wg.Go(func() {
			if err := p.forward(); err != nil {
				c.reset()
			}
		})
	}
	wg.Wait()
	_ = c.client.Close()
	_ = c.target.Close()
}

func (c *relayed) reset() {
	reset(c.client)
	reset(c.target)
	c.up.close()
	c.down.close()
}

// behaviour is the lasting mode of a direction; the zero value forwards.
type behaviour struct {
	mode  Mode
	delay time.Duration
}

// pipe forwards one direction of a connection. A reader takes the bytes from the
// source with the time of their arrival; a writer delivers them.
type pipe struct {
	from, to *net.TCPConn
	chunks   chan chunk
	closed   chan struct{}
	once     sync.Once
	written  atomic.Int64 // bytes

	mu        sync.Mutex
	behaviour behaviour
	lossy     bool          // bytes were dropped, so nothing may follow
	changed   chan struct{} // closed and replaced when the above changes
}

// chunk is what one read returned.
type chunk struct {
	data    []byte
	arrived time.Time
}

const (
	chunkSize = 32 << 10
	// queueLength bounds the memory of a held or delayed connection. Beyond it
	// the sender meets TCP flow control.
	queueLength = 64
)

var errClosed = errors.New("connection was closed")

func newPipe(from, to *net.TCPConn) *pipe {
	return &pipe{
		from: from, to: to,
		chunks: make(chan chunk, queueLength), closed: make(chan struct{}), changed: make(chan struct{}),
	}
}

func (p *pipe) set(b behaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behaviour = b
	close(p.changed)
	p.changed = make(chan struct{})
}

// silence drops everything from now on.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy = true
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) close() { p.once.Do(func() { close(p.closed) }) }

// forward returns nil after the source's end was passed on.
func (p *pipe) forward() error {
	read := make(chan error, 1)
	go func() { read <- p.read() }()
	for c := range p.chunks {
		if err := p.deliver(c); err != nil {
			p.close()
			return err
		}
	}
	// The end passes as the bytes do, a reset as well.
	if err := p.deliver(chunk{arrived: time.Now()}); err != nil {
		return err
	}
	return <-read
}

// read queues what arrives. It returns nil at the source's end.
func (p *pipe) read() error {
	defer close(p.chunks)
	buf := make([]byte, chunkSize)
	for {
		n, err := p.from.Read(buf)
		if n > 0 {
			select {
			case p.chunks <- chunk{data: bytes.Clone(buf[:n]), arrived: time.Now()}:
			case <-p.closed:
				return errClosed
			}
		}
		if err != nil {
			return endOrError(err)
		}
	}
}

// deliver waits as the behaviour demands and then writes or drops the chunk. An
// empty chunk stands for the end of the stream. Once something was dropped the
// end is not passed on either: the pipe then waits for the connection's reset.
func (p *pipe) deliver(c chunk) error {
	for {
		p.mu.Lock()
		b, changed := p.behaviour, p.changed
		if b.mode == ModeCut {
			p.lossy = true
		}
		lossy := p.lossy
		p.mu.Unlock()
		var due <-chan time.Time
		wait := b.mode == ModeHold
		if left := time.Until(c.arrived.Add(b.delay)); b.mode == ModeDelay && left > 0 {
			wait = true
			due = time.After(left)
		}
		switch {
		case lossy && len(c.data) > 0:
			return nil
		case lossy:
			<-p.closed
			return errClosed
		case !wait:
			return p.write(c)
		}
		select {
		case <-changed:
		case <-due:
		case <-p.closed:
			return errClosed
		}
	}
}

func (p *pipe) write(c chunk) error {
	if len(c.data) == 0 {
		return p.to.CloseWrite()
	}
	n, err := p.to.Write(c.data)
	p.written.Add(int64(n))
	return err
}
