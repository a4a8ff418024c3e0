package fleet

import "github.com/go-faster/jx"

// Peer is an instance and where the others reach it.
type Peer struct {
	ID   InstanceID
	Addr string
}

// EncodePeers writes peers as an object of addresses by id.
func EncodePeers(e *jx.Encoder, peers []Peer) {
	e.ObjStart()
	for _, p := range peers {
		e.FieldStart(string(p.ID))
		e.Str(p.Addr)
	}
	e.ObjEnd()
}

// DecodePeers reads what EncodePeers wrote.
func DecodePeers(d *jx.Decoder) ([]Peer, error) {
	var peers []Peer
	err := d.Obj(func(d *jx.Decoder, id string) error {
		addr, err := d.Str()
		peers = append(peers, Peer{InstanceID(id), addr})
		return err
	})
	return peers, err
}
