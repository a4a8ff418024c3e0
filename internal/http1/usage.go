package http1

// ServerUsage is what a Server holds at a time.
type ServerUsage struct {
	Conns     int   // open connections
	Requests  int   // requests whose handlers have not returned
	BodyBytes int64 // bytes that request bodies take from Bodies and SmallBodies of ServerConfig
}

// Usage returns what s holds now.
func (s *Server) Usage() ServerUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := ServerUsage{Conns: len(s.conns), BodyBytes: s.cfg.Bodies.inUse() + s.cfg.SmallBodies.inUse()}
	for c := range s.conns {
		u.Requests += len(c.inFlight)
	}
	return u
}

// BodyBytes returns the bytes that bodies take from TransportConfig.Bodies now, those of
// other transports that share it included.
func (t *Transport) BodyBytes() int64 {
	return t.cfg.Bodies.inUse()
}

// inUse returns the bytes that are taken from the budget, 0 for a nil budget.
func (b *BodyBudget) inUse() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
