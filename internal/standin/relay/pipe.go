package relay

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// connection is a client's connection to the relay, paired with the relay's
// connection to the target.
type connection struct {
	clientName         string // empty if the client is not known
	client, target     *net.TCPConn
	toTarget, toClient *pipe // the two directions
}

func (c *connection) setImpairments(imps impairments) {
	c.toTarget.setImpairment(imps.toTarget)
	c.toClient.setImpairment(imps.toClient)
}

// run forwards bytes until both directions have reached their end. If one direction
// fails, both connections are reset.
func (c *connection) run() {
	var wg sync.WaitGroup
	for _, p := range []*pipe{c.toTarget, c.toClient} {
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

func (c *connection) reset() {
	resetConn(c.client)
	resetConn(c.target)
	c.toTarget.close()
	c.toClient.close()
}

// impairment is the lasting fault of one direction. With the zero value, everything
// is forwarded.
type impairment struct {
	mode  Mode
	delay time.Duration
}

// pipe forwards one direction of a connection. One goroutine reads chunks from src
// and queues them with their time of arrival; another one writes them to dst.
type pipe struct {
	src, dst     *net.TCPConn
	chunks       chan chunk
	closed       chan struct{}
	closeOnce    sync.Once
	writtenBytes atomic.Int64

	mu         sync.Mutex
	impairment impairment
	dropping   bool          // bytes of the stream were dropped, so nothing after them may be delivered
	changed    chan struct{} // closed and replaced when impairment or dropping changes
}

// chunk holds the bytes that one read returned.
type chunk struct {
	data       []byte
	receivedAt time.Time
}

const (
	chunkSize = 32 << 10 // bytes
	// maxQueuedChunks limits the memory of a held or delayed connection. When the
	// queue is full, the relay stops reading and TCP flow control blocks the sender.
	maxQueuedChunks = 64
)

var errConnClosed = errors.New("connection was closed")

func newPipe(src, dst *net.TCPConn) *pipe {
	return &pipe{
		src: src, dst: dst,
		chunks: make(chan chunk, maxQueuedChunks), closed: make(chan struct{}), changed: make(chan struct{}),
	}
}

func (p *pipe) setImpairment(imp impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = imp
	close(p.changed)
	p.changed = make(chan struct{})
}

// startDropping makes the pipe drop everything from now on, also the end of the
// stream.
func (p *pipe) startDropping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = true
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) close() { p.closeOnce.Do(func() { close(p.closed) }) }

// forward forwards src to dst and returns nil once it has forwarded the end of the
// stream.
func (p *pipe) forward() error {
	readErr := make(chan error, 1)
	go func() { readErr <- p.read() }()
	for c := range p.chunks {
		if err := p.deliver(c); err != nil {
			p.close()
			return err
		}
	}
	// The end of the stream, also one caused by a reset, is subject to the same
	// impairment as the bytes before it.
	if err := p.deliver(chunk{receivedAt: time.Now()}); err != nil {
		return err
	}
	return <-readErr
}

// read queues the chunks that arrive from src and returns nil at the end of the
// stream.
func (p *pipe) read() error {
	defer close(p.chunks)
	buf := make([]byte, chunkSize)
	for {
		n, err := p.src.Read(buf)
		if n > 0 {
			select {
			case p.chunks <- chunk{data: bytes.Clone(buf[:n]), receivedAt: time.Now()}:
			case <-p.closed:
				return errConnClosed
			}
		}
		if err != nil {
			return ignoreEOF(err)
		}
	}
}

// deliver waits as long as the impairment requires and then writes or drops the
// chunk. An empty chunk marks the end of the stream. If bytes were dropped, the end
// is not forwarded either: deliver then blocks until the pipe is closed.
func (p *pipe) deliver(c chunk) error {
	for {
		p.mu.Lock()
		imp, changed := p.impairment, p.changed
		if imp.mode == ModeCut {
			p.dropping = true
		}
		dropping := p.dropping
		p.mu.Unlock()
		var delayElapsed <-chan time.Time
		wait := imp.mode == ModeHold
		if remaining := time.Until(c.receivedAt.Add(imp.delay)); imp.mode == ModeDelay && remaining > 0 {
			wait = true
			delayElapsed = time.After(remaining)
		}
		switch {
		case dropping && len(c.data) > 0:
			return nil
		case dropping:
			<-p.closed
			return errConnClosed
		case !wait:
			return p.write(c)
		}
		select {
		case <-changed:
		case <-delayElapsed:
		case <-p.closed:
			return errConnClosed
		}
	}
}

func (p *pipe) write(c chunk) error {
	if len(c.data) == 0 {
		return p.dst.CloseWrite()
	}
	n, err := p.dst.Write(c.data)
	p.writtenBytes.Add(int64(n))
	return err
}
