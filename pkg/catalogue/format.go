package catalogue

import (
	"bytes"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Names of the top-level lists, in the order in which Format writes them.
const (
	listServices     = "services"
	listEntries      = "entries"
	listAccounts     = "accounts"
	listCallerKeys   = "caller-keys"
	listOutOfService = "out-of-service"
)

// field is one field of an item as Format writes it and Diff compares it.
type field struct {
	name string
	node *yaml.Node
}

// item is one element of a top-level list.
type item struct {
	kind   string // for example "entry"
	name   string // unique within the list
	fields []field
}

// Format returns the catalogue as YAML that Parse accepts if Check does. It writes
// fields even if they equal their default, so that a change of a default in a later
// version does not affect stored catalogues.
func (c *Catalogue) Format() []byte {
	root := &yaml.Node{Kind: yaml.MappingNode}
	for _, l := range c.lists() {
		list := &yaml.Node{Kind: yaml.SequenceNode}
		if len(l.items) == 0 {
			list.Style = yaml.FlowStyle
		}
		for _, it := range l.items {
			list.Content = append(list.Content, mappingNode(it.fields))
		}
		root.Content = append(root.Content, stringNode(l.name), list)
	}
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(2)
	if err := enc.Encode(root); err != nil {
		panic("catalogue: encode nodes: " + err.Error()) // nodes built here always encode
	}
	return buf.Bytes()
}

type list struct {
	name  string
	items []item
}

func (c *Catalogue) lists() []list {
	return []list{
		{listServices, items(c.Services, Service.item)},
		{listEntries, items(c.Entries, Entry.item)},
		{listAccounts, items(c.Accounts, Account.item)},
		{listCallerKeys, items(c.CallerKeys, CallerKey.item)},
		{listOutOfService, items(c.OutOfService, Outage.item)},
	}
}

func items[T any](in []T, f func(T) item) []item {
	out := make([]item, 0, len(in))
	for _, v := range in {
		out = append(out, f(v))
	}
	return out
}

func (s Service) item() item {
	return item{"service", string(s.ID), []field{
		{"id", stringNode(string(s.ID))},
		{"shards", integerNode(int64(s.Shards))},
		{"slots", integerNode(int64(s.Slots))},
		{"cold-slots", integerNode(int64(s.ColdSlots))},
		{"warm-time", stringNode(s.WarmTime.String())},
		{"fencing", stringNode(string(s.Fencing))},
		{"timeout", stringNode(s.Timeout.String())},
	}}
}

func (e Entry) item() item {
	fields := []field{
		{"id", stringNode(string(e.ID))},
		{"owner", stringNode(e.Owner)},
		{"service", stringNode(string(e.Service))},
		{"path-prefix", stringNode(e.PathPrefix)},
		{"class", stringNode(string(e.Class))},
	}
	fields = append(fields, limitFields(e.Limit)...)
	fields = append(fields, field{"routing-key", e.RoutingKey.node()})
	if e.Open {
		fields = append(fields, field{"open", &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!bool", Value: "true"}})
	}
	if len(e.Accounts) > 0 {
		accounts := &yaml.Node{Kind: yaml.SequenceNode, Style: yaml.FlowStyle}
		for _, a := range e.Accounts {
			accounts.Content = append(accounts.Content, stringNode(string(a)))
		}
		fields = append(fields, field{"accounts", accounts})
	}
	return item{"entry", string(e.ID), fields}
}

func (k KeySource) node() *yaml.Node {
	fields := []field{{"from", stringNode(string(k.From))}}
	if k.From == FromPathSegment {
		fields = append(fields, field{"segment", integerNode(int64(k.Segment))})
	} else {
		fields = append(fields, field{"name", stringNode(k.Name)})
	}
	n := mappingNode(fields)
	n.Style = yaml.FlowStyle
	return n
}

func (a Account) item() item {
	fields := []field{{"id", stringNode(string(a.ID))}}
	return item{"account", string(a.ID), append(fields, limitFields(a.Limit)...)}
}

func (k CallerKey) item() item {
	fields := []field{{"hash", stringNode(k.Hash.String())}, {"account", stringNode(string(k.Account))}}
	if k.Note != "" {
		fields = append(fields, field{"note", stringNode(k.Note)})
	}
	return item{"caller key", k.Hash.String(), fields}
}

func (o Outage) item() item {
	return item{"outage", string(o.Kind) + " " + o.Name, []field{
		{"kind", stringNode(string(o.Kind))},
		{"name", stringNode(o.Name)},
		{"by", stringNode(o.By)},
		{"at", stringNode(o.At.Format(time.RFC3339Nano))},
	}}
}

func limitFields(l fleet.Limit) []field {
	if l.Unlimited() {
		return nil
	}
	rate := strconv.FormatFloat(float64(l.Rate), 'f', -1, 64)
	return []field{
		{"rate", &yaml.Node{Kind: yaml.ScalarNode, Value: rate}},
		{"burst", integerNode(int64(l.Burst))},
	}
}

func mappingNode(fields []field) *yaml.Node {
	n := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		n.Content = append(n.Content, stringNode(f.name), f.node)
	}
	return n
}

func stringNode(s string) *yaml.Node {
	n := &yaml.Node{}
	n.SetString(s)
	return n
}

func integerNode(v int64) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!int", Value: strconv.FormatInt(v, 10)}
}
