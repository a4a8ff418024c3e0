package lab

import (
	"net"
	"strings"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// relayNetwork connects the processes of a fleet through a relay. Each link is a
// route of the relay and named after its target process. A fault on a link can be
// restricted to the connections of one instance.
type relayNetwork struct {
	fleet        *Fleet
	relay        *relay.Server
	addrByLink   map[string]string // the relay's listen address, by link name
	addrByTarget map[string]string // the relay's listen address, by target address
}

func newRelayNetwork(f *Fleet) (*relayNetwork, error) {
	r, err := relay.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &relayNetwork{fleet: f, relay: r, addrByLink: make(map[string]string), addrByTarget: make(map[string]string)}
	r.Identify(n.identifyInstance)
	return n, nil
}

func peerLink(id fleet.InstanceID) string    { return "peer-" + string(id) }
func forwardLink(id fleet.InstanceID) string { return "forward-" + string(id) }

func (n *relayNetwork) addLink(link, target string) (string, error) {
	addr, err := n.relay.AddRoute(link, "127.0.0.1:0", target)
	if err != nil {
		return "", err
	}
	n.addrByLink[link], n.addrByTarget[target] = addr, addr
	return addr, nil
}

func (n *relayNetwork) addStoreAndInstances() error {
	if _, err := n.addLink(storeName, n.fleet.StoreAddr); err != nil {
		return err
	}
	for _, i := range n.fleet.Instances {
		for link, target := range map[string]string{peerLink(i.ID): i.PeerAddr, forwardLink(i.ID): i.ForwardAddr} {
			if _, err := n.addLink(link, target); err != nil {
				return err
			}
		}
	}
	return nil
}

func (n *relayNetwork) linkAddr(link string) string { return n.addrByLink[link] }

func (n *relayNetwork) relayAddr(target string) string { return n.addrByTarget[target] }

// identifyInstance returns the name of the instance that opened a connection to the
// relay, or "" if it is not known. The addresses are those of the relay's end.
func (n *relayNetwork) identifyInstance(local, remote net.Addr) string {
	f := n.fleet
	f.mu.Lock()
	pids := make(map[string]int)
	for _, i := range f.Instances {
		if p := f.processes[string(i.ID)]; p != nil {
			pids[string(i.ID)] = p.cmd.Process.Pid
		}
	}
	f.mu.Unlock()
	return socketOwner(local, remote, pids)
}

// Everyone selects all instances as the source of a link, or all processes that
// instances connect to as its target.
const Everyone = "everyone"

// links returns the names of the links to a process, the store, or Everyone.
func (f *Fleet) links(to string) (out []string) {
	if to == Everyone {
		for link := range f.network.addrByLink {
			out = append(out, link)
		}
		return out
	}
	for link := range f.network.addrByLink {
		if link == to || link == peerLink(fleet.InstanceID(to)) || link == forwardLink(fleet.InstanceID(to)) {
			out = append(out, link)
		}
	}
	return out
}

// LinkFault injects a fault into the connections of instance from to process to.
// Either may be Everyone; to may be a list separated by commas.
func (f *Fleet) LinkFault(from, to string, fault relay.Fault) error {
	if f.network == nil {
		return errors.New("the fleet has no relay")
	}
	if from != Everyone {
		fault.Client = from
	}
	for name := range strings.SplitSeq(to, ",") {
		links := f.links(name)
		if len(links) == 0 {
			return errors.Errorf("no link to %q", name)
		}
		for _, link := range links {
			if err := f.network.relay.SetFault(link, fault); err != nil {
				return err
			}
		}
	}
	return nil
}

// Heal ends all link faults.
func (f *Fleet) Heal() error { return f.LinkFault(Everyone, Everyone, relay.Fault{Mode: relay.ModeOK}) }
