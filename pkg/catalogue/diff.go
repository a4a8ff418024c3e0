package catalogue

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Action says what happens to an item.
type Action string

// Values of Action.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is what happens to one item.
type Change struct {
	Action Action
	Kind   string // service, entry, account, caller key or outage
	Name   string // for a caller key the hash, for an outage kind and name
	Fields []FieldChange
}

// FieldChange is the change of one field; an absent field is empty.
type FieldChange struct {
	Field    string
	Old, New string
}

// String returns one line such as `changed entry hall: rate 10 -> 20`.
func (c Change) String() string {
	s := fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name)
	if len(c.Fields) == 0 {
		return s
	}
	parts := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		switch {
		case c.Action != Changed:
			parts[i] = f.Field + " " + f.New + f.Old
		default:
			parts[i] = fmt.Sprintf("%s %s -> %s", f.Field, orNone(f.Old), orNone(f.New))
		}
	}
	return s + ": " + strings.Join(parts, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// Diff returns the changes from old to updated, lists in the order of the file and
// in each list removals first. The order of items makes no difference.
func Diff(old, updated *Catalogue) []Change {
	var out []Change
	oldLists := old.lists()
	for i, l := range updated.lists() {
		out = append(out, diffItems(oldLists[i].items, l.items)...)
	}
	return out
}

func diffItems(old, updated []item) []Change {
	var out []Change
	was, is := byName(old), byName(updated)
	for _, it := range old {
		if _, ok := is[it.name]; !ok {
			out = append(out, Change{Removed, it.kind, it.name, diffFields(it.fields, nil)})
		}
	}
	for _, it := range updated {
		before, ok := was[it.name]
		fields := diffFields(before.fields, it.fields)
		switch {
		case !ok:
			out = append(out, Change{Added, it.kind, it.name, fields})
		case len(fields) > 0:
			out = append(out, Change{Changed, it.kind, it.name, fields})
		}
	}
	return out
}

func byName(in []item) map[string]item {
	out := make(map[string]item, len(in))
	for _, it := range in {
		out[it.name] = it
	}
	return out
}

// diffFields compares in the order of the file. The fields that make up the name
// of an item are left out.
func diffFields(old, updated []field) []FieldChange {
	was, is := make(map[string]string), make(map[string]string)
	var order []string
	for _, f := range old {
		was[f.name] = plain(f.node)
		order = append(order, f.name)
	}
	for _, f := range updated {
		is[f.name] = plain(f.node)
		if _, ok := was[f.name]; !ok {
			order = append(order, f.name)
		}
	}
	var out []FieldChange
	for _, name := range order {
		if was[name] != is[name] && name != "id" && name != "hash" && name != "kind" && name != "name" {
			out = append(out, FieldChange{name, was[name], is[name]})
		}
	}
	return out
}

// plain returns the text of a value on one line.
func plain(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	var parts []string
	for i, c := range n.Content {
		if n.Kind == yaml.MappingNode && i%2 == 0 {
			continue
		}
		parts = append(parts, plain(c))
	}
	if n.Kind == yaml.MappingNode {
		return strings.Join(parts, " ")
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
