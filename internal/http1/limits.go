package http1

import "time"

// Limits bounds the requests on a Server's connections, and how long these may be idle.
type Limits struct {
	MaxHead     int           // bytes of a request head; 0, or more than maxRequestHead, means maxRequestHead
	MaxBody     int           // bytes of a request body; 0, or more than ServerConfig.MaxBody, means that
	HeadTimeout time.Duration // from the first byte of a head to its end; 0 means that only IdleTimeout bounds it
	// IdleTimeout bounds the time without a request in flight. Unless HeadTimeout and
	// ServerConfig.MinRate are set, it runs until the end of the next request.
	IdleTimeout time.Duration
}

// SetLimits replaces the limits in force, also for open connections.
func (s *Server) SetLimits(l Limits) {
	if l.MaxHead <= 0 || l.MaxHead > maxRequestHead {
		l.MaxHead = maxRequestHead
	}
	if l.MaxBody <= 0 || l.MaxBody > s.cfg.MaxBody {
		l.MaxBody = s.cfg.MaxBody
	}
	l.IdleTimeout = orDefault(l.IdleTimeout, s.cfg.ReadTimeout)
	s.limits.Store(&l)
}

// Limits returns the limits in force.
func (s *Server) Limits() Limits { return *s.limits.Load() }

// SetReadTimeout replaces ServerConfig.ReadTimeout, also for open connections.
func (s *Server) SetReadTimeout(d time.Duration) {
	l := s.Limits()
	l.IdleTimeout = d
	s.limits.Store(&l)
}

// ReadTimeout returns the read timeout in force.
func (s *Server) ReadTimeout() time.Duration { return s.Limits().IdleTimeout }
