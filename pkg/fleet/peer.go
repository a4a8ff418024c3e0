package fleet

import "github.com/go-faster/jx"

// Peer is an instance with its network address.
type Peer struct {
	ID   InstanceID
	Addr string // "host:port" at which other instances reach it
}

// EncodePeers writes peers as a JSON object that maps ids to addresses.
func EncodePeers(e *jx.Encoder, peers []Peer) {
	e.ObjStart()
	for _, p := range peers {
		e.FieldStart(string(p.ID))
		e.Str(p.Addr)
	}
	e.ObjEnd()
}

// DecodePeers reads a JSON object that EncodePeers wrote, in the order of its
// fields. If the JSON is malformed, it returns an error with the peers read so far.
func DecodePeers(d *jx.Decoder) ([]Peer, error) {
	var peers []Peer
	err := d.Obj(func(d *jx.Decoder, id string) error {
		addr, err := d.Str()
		peers = append(peers, Peer{InstanceID(id), addr})
		return err
	})
	return peers, err
}
