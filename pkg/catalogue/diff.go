package catalogue

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Action is the kind of a Change.
type Action string

// Values of Action.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference of one item between two catalogues.
type Change struct {
	Action Action
	Kind   string        // service, entry, account, caller key or outage
	Name   string        // id; the hash of a caller key; the kind and name of an outage
	Fields []FieldChange // without the fields that form Name
}

// FieldChange is the old and new value of one field. The value of an absent field
// is empty.
type FieldChange struct {
	Field    string
	Old, New string
}

// String returns the change on one line, for example
// `changed entry hall: rate 10 -> 20`.
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

// Diff returns the changes from old to updated, in the order of the lists in a
// formatted catalogue, and in each list removals first. A different order of items
// is no change.
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
	oldByName, updatedByName := itemsByName(old), itemsByName(updated)
	for _, it := range old {
		if _, ok := updatedByName[it.name]; !ok {
			out = append(out, Change{Removed, it.kind, it.name, diffFields(it.fields, nil)})
		}
	}
	for _, it := range updated {
		oldItem, ok := oldByName[it.name]
		fields := diffFields(oldItem.fields, it.fields)
		switch {
		case !ok:
			out = append(out, Change{Added, it.kind, it.name, fields})
		case len(fields) > 0:
			out = append(out, Change{Changed, it.kind, it.name, fields})
		}
	}
	return out
}

func itemsByName(in []item) map[string]item {
	out := make(map[string]item, len(in))
	for _, it := range in {
		out[it.name] = it
	}
	return out
}

// diffFields returns the fields that differ, in the order of the file. It omits the
// fields that form the name of an item.
func diffFields(old, updated []field) []FieldChange {
	oldValues, updatedValues := make(map[string]string), make(map[string]string)
	var order []string
	for _, f := range old {
		oldValues[f.name] = inlineValue(f.node)
		order = append(order, f.name)
	}
	for _, f := range updated {
		updatedValues[f.name] = inlineValue(f.node)
		if _, ok := oldValues[f.name]; !ok {
			order = append(order, f.name)
		}
	}
	var out []FieldChange
	for _, name := range order {
		if oldValues[name] != updatedValues[name] && name != "id" && name != "hash" && name != "kind" && name != "name" {
			out = append(out, FieldChange{name, oldValues[name], updatedValues[name]})
		}
	}
	return out
}

// inlineValue returns the value of a node on one line.
func inlineValue(n *yaml.Node) string {
	if n.Kind == yaml.ScalarNode {
		return n.Value
	}
	var parts []string
	for i, c := range n.Content {
		if n.Kind == yaml.MappingNode && i%2 == 0 {
			continue
		}
		parts = append(parts, inlineValue(c))
	}
	if n.Kind == yaml.MappingNode {
		return strings.Join(parts, " ")
	}
	return "[" + strings.Join(parts, ", ") + "]"
}
