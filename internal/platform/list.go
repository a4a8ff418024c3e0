// Package platform is the client of the store and of the instance list.
package platform

import "github.com/parsleyproxy/parsleyproxy/pkg/fleet"

// Kind says what a listed process is.
type Kind string

// State says whether a listed process is about to stop.
type State string

// Values of Kind and State.
const (
	KindUpstream Kind  = "upstream"
	KindInstance Kind  = "instance"
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Listed is a line of the platform's instance list.
type Listed struct {
	Name    string
	Kind    Kind
	Service fleet.ServiceID
	Address string
	Zone    fleet.ZoneID
	State   State
	Boot    fleet.BootID
}
