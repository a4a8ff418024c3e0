package lab

import (
	"net"
	"strings"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// network is the relay between the processes of a fleet. A link is named after
// its target; its faults can be restricted to the connections of one instance.
type network struct {
	fleet *Fleet
	relay *relay.Server
	addrs map[string]string // of the relay, by link
	by    map[string]string // of the relay, by target address
}

func newNetwork(f *Fleet) (*network, error) {
	r, err := relay.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &network{fleet: f, relay: r, addrs: make(map[string]string), by: make(map[string]string)}
	r.Identify(n.identify)
	return n, nil
}

func peerLink(id fleet.InstanceID) string    { return "peer-" + string(id) }
func forwardLink(id fleet.InstanceID) string { return "forward-" + string(id) }

func (n *network) add(link, target string) (string, error) {
	addr, err := n.relay.AddRoute(link, "127.0.0.1:0", target)
	if err != nil {
		return "", err
	}
	n.addrs[link], n.by[target] = addr, addr
	return addr, nil
}

func (n *network) addInstances() error {
	if _, err := n.add(storeName, n.fleet.StoreAddr); err != nil {
		return err
	}
	for _, i := range n.fleet.Instances {
		for link, target := range map[string]string{peerLink(i.ID): i.Peer, forwardLink(i.ID): i.Forward} {
			if _, err := n.add(link, target); err != nil {
				return err
			}
		}
	}
	return nil
}

func (n *network) addr(link string) string { return n.addrs[link] }

func (n *network) relayed(target string) string { return n.by[target] }

// identify names the instance at the other end of a connection.
func (n *network) identify(local, remote net.Addr) string {
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

// Everyone stands for all processes that an instance talks to.
const Everyone = "everyone"

// links returns the links that lead to a process, the store, or everyone.
func (f *Fleet) links(to string) (out []string) {
	if to == Everyone {
		for link := range f.network.addrs {
			out = append(out, link)
		}
		return out
	}
	for link := range f.network.addrs {
		if link == to || link == peerLink(fleet.InstanceID(to)) || link == forwardLink(fleet.InstanceID(to)) {
			out = append(out, link)
		}
	}
	return out
}

// LinkFault injects a fault into the links on which from calls to. Either may be
// Everyone; to may be a list separated by commas.
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

// Heal ends all faults of links.
func (f *Fleet) Heal() error { return f.LinkFault(Everyone, Everyone, relay.Fault{Mode: relay.ModeOK}) }
