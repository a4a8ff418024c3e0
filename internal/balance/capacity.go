package balance

import "time"

// Capacity is the load that an upstream serves within its usual service time.
type Capacity struct {
	Rate     float64 // requests per second
	InFlight float64 // requests in flight, of all instances
}

// MinServiceTime is the shortest assumed service time in seconds. Without it, an upstream
// that answered a few requests immediately would be assigned all keys.
const MinServiceTime = 0.005

// Capacity returns the capacity of e.
func (t *Table) Capacity(now time.Time, e *Entry) Capacity {
	slots := float64(e.Slots)
	c := Capacity{Rate: slots / max(t.LongMeanTime(now, e), MinServiceTime), InFlight: slots}
	if limit := float64(e.LimitRate()); limit > 0 {
		c.Rate = min(c.Rate, limit)
	}
	return c
}
