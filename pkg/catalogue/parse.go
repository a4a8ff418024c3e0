package catalogue

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.yaml.in/yaml/v3"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// FieldError is one fault of a catalogue. File, Line and Column are empty if the
// catalogue did not come from a file.
type FieldError struct {
	File         string
	Line, Column int
	Item         string // for example `entry "hall"`; empty outside of items
	Field        string // for example "routing-key.name"; empty for a whole item
	Problem      string
}

// Error returns "file:line:column: item: field: problem" without the empty parts.
func (e *FieldError) Error() string {
	var parts []string
	if e.File != "" {
		pos := e.File
		if e.Line > 0 {
			pos = fmt.Sprintf("%s:%d:%d", e.File, e.Line, e.Column)
		}
		parts = append(parts, pos)
	}
	for _, s := range []string{e.Item, e.Field, e.Problem} {
		if s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, ": ")
}

// Errors holds every fault of a catalogue, in the order of the file.
type Errors []*FieldError

// Error returns one line per fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Parse reads a catalogue. The error is an Errors with every fault that was
// found, including those that Check finds; file is used in its positions.
func Parse(file string, data []byte) (*Catalogue, error) {
	if len(data) > MaxSize {
		return nil, Errors{{File: file, Problem: fmt.Sprintf("%d bytes, at most %d are allowed", len(data), MaxSize)}}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, Errors{{File: file, Line: 1, Column: 1, Problem: `empty file; an empty catalogue is written "services: []"`}}
		}
		return nil, Errors{syntaxError(file, err)}
	}
	d := &decoder{file: file, at: make(map[string]*yaml.Node), items: make(map[string]string), failed: make(map[string]bool)}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		d.report(place{}, &second, "a second document; only one is allowed")
	} else if !errors.Is(err, io.EOF) {
		return nil, Errors{syntaxError(file, err)}
	}
	c := d.catalogue(doc.Content[0])
	for _, p := range c.check() {
		if !d.hasFailed(p.path) {
			d.failAt(p)
		}
	}
	slices.SortStableFunc(d.errs, func(a, b *FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if err := d.errs.orNil(); err != nil {
		return nil, err
	}
	return c, nil
}

var yamlLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

// syntaxError turns "yaml: line 3: problem" into a position. The library reports
// no column for syntax errors.
func syntaxError(file string, err error) *FieldError {
	m := yamlLine.FindStringSubmatch(strings.ReplaceAll(err.Error(), "\n", " "))
	if m == nil {
		return &FieldError{File: file, Line: 1, Column: 1, Problem: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	return &FieldError{File: file, Line: max(line, 1), Column: 1, Problem: m[2]}
}

// place is where the decoder is: path identifies a value for Check's problems,
// item and field name it for people.
type place struct {
	path, item, field string
}

func (p place) sub(name string) place {
	p.path += "/" + name
	if p.field != "" {
		p.field += "."
	}
	p.field += name
	return p
}

type decoder struct {
	file   string
	errs   Errors
	at     map[string]*yaml.Node // by path
	items  map[string]string     // names of items by path
	failed map[string]bool       // by path: the value was not decoded
}

// fail reports a value that was not decoded. Check's problems with it are left
// out, since they would only repeat the fault.
func (d *decoder) fail(p place, n *yaml.Node, format string, args ...any) {
	d.failed[p.path] = true
	d.report(p, n, format, args...)
}

func (d *decoder) hasFailed(path string) bool {
	for path != "" {
		if d.failed[path] {
			return true
		}
		path = parent(path)
	}
	return false
}

func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}

func (d *decoder) report(p place, n *yaml.Node, format string, args ...any) {
	d.errs = append(d.errs, &FieldError{
		File: d.file, Line: n.Line, Column: n.Column,
		Item: p.item, Field: p.field, Problem: fmt.Sprintf(format, args...),
	})
}

// failAt reports a problem at its value or, if the value is missing, at the
// nearest enclosing one. The root is always known.
func (d *decoder) failAt(p problem) {
	path := p.path
	for d.at[path] == nil {
		path = parent(path)
	}
	n := d.at[path]
	item := p.item
	for item == p.item && path != "" {
		if name, ok := d.items[path]; ok {
			item = name
		}
		path = parent(path)
	}
	d.report(place{p.path, item, p.field}, n, "%s", p.text)
}

func (d *decoder) catalogue(n *yaml.Node) *Catalogue {
	c := &Catalogue{}
	d.object(place{}, n, map[string]func(place, *yaml.Node){
		listServices:     func(p place, n *yaml.Node) { c.Services = decodeList(d, p, n, "service", "id", d.service) },
		listEntries:      func(p place, n *yaml.Node) { c.Entries = decodeList(d, p, n, "entry", "id", d.entry) },
		listAccounts:     func(p place, n *yaml.Node) { c.Accounts = decodeList(d, p, n, "account", "id", d.account) },
		listCallerKeys:   func(p place, n *yaml.Node) { c.CallerKeys = decodeList(d, p, n, "caller key", "hash", d.callerKey) },
		listOutOfService: func(p place, n *yaml.Node) { c.OutOfService = decodeList(d, p, n, "outage", "name", d.outage) },
	})
	return c
}

func (d *decoder) service(p place, n *yaml.Node) Service {
	s := Service{Shards: DefaultShards, ColdSlots: DefaultColdSlots, WarmTime: DefaultWarmTime, Fencing: FencingChecked, Timeout: DefaultTimeout}
	d.object(p, n, map[string]func(place, *yaml.Node){
		"id":         text(d, &s.ID),
		"shards":     number(d, &s.Shards),
		"slots":      number(d, &s.Slots),
		"cold-slots": number(d, &s.ColdSlots),
		"warm-time":  d.duration(&s.WarmTime),
		"fencing":    text(d, &s.Fencing),
		"timeout":    d.duration(&s.Timeout),
	})
	return s
}

func (d *decoder) entry(p place, n *yaml.Node) Entry {
	var e Entry
	d.object(p, n, map[string]func(place, *yaml.Node){
		"id":          text(d, &e.ID),
		"owner":       text(d, &e.Owner),
		"service":     text(d, &e.Service),
		"path-prefix": text(d, &e.PathPrefix),
		"class":       text(d, &e.Class),
		"rate":        d.rate(&e.Limit.Rate),
		"burst":       number(d, &e.Limit.Burst),
		"routing-key": func(p place, n *yaml.Node) { e.RoutingKey = d.keySource(p, n) },
		"open":        d.boolean(&e.Open),
		"accounts": func(p place, n *yaml.Node) {
			e.Accounts = decodeList(d, p, n, "", "", func(p place, n *yaml.Node) (id fleet.AccountID) {
				text(d, &id)(p, n)
				return id
			})
		},
	})
	return e
}

func (d *decoder) keySource(p place, n *yaml.Node) KeySource {
	k := KeySource{Segment: segmentMissing}
	d.object(p, n, map[string]func(place, *yaml.Node){
		"from":    text(d, &k.From),
		"name":    text(d, &k.Name),
		"segment": number(d, &k.Segment),
	})
	if k.From != FromPathSegment && k.Segment == segmentMissing {
		k.Segment = 0
	}
	return k
}

func (d *decoder) account(p place, n *yaml.Node) Account {
	var a Account
	d.object(p, n, map[string]func(place, *yaml.Node){
		"id":    text(d, &a.ID),
		"rate":  d.rate(&a.Limit.Rate),
		"burst": number(d, &a.Limit.Burst),
	})
	return a
}

func (d *decoder) callerKey(p place, n *yaml.Node) CallerKey {
	var k CallerKey
	d.object(p, n, map[string]func(place, *yaml.Node){
		"hash": func(p place, n *yaml.Node) {
			var s string
			if !d.scalar(p, n, &s, "!!str") {
				return
			}
			// The value is not repeated: a caller key may have been put here by mistake.
			h, ok := parseHash(s)
			if !ok {
				d.fail(p, n, "want 64 hexadecimal digits (SHA-256 of the caller key)")
				return
			}
			k.Hash = h
		},
		"account": text(d, &k.Account),
		"note":    text(d, &k.Note),
	})
	return k
}

func (d *decoder) outage(p place, n *yaml.Node) Outage {
	var o Outage
	d.object(p, n, map[string]func(place, *yaml.Node){
		"kind": text(d, &o.Kind),
		"name": text(d, &o.Name),
		"by":   text(d, &o.By),
		"at": func(p place, n *yaml.Node) {
			var s string
			if !d.scalar(p, n, &s, "!!str", "!!timestamp") {
				return
			}
			at, err := time.Parse(time.RFC3339Nano, s)
			if err != nil {
				d.fail(p, n, "%q: want a time such as 2026-03-01T12:00:00Z", s)
				return
			}
			o.At = at.UTC()
		},
	})
	return o
}

// object calls the decoder of each field. Unknown and duplicate fields fail.
func (d *decoder) object(p place, n *yaml.Node, fields map[string]func(place, *yaml.Node)) {
	d.at[p.path] = n
	if n.Kind != yaml.MappingNode {
		d.fail(p, n, "want a mapping, found %s", kindName(n))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		sub := p.sub(key.Value)
		decode, known := fields[key.Value]
		switch line, dup := seen[key.Value]; {
		case key.Kind != yaml.ScalarNode || !known:
			d.report(p, key, "unknown field %q; known: %s", key.Value, strings.Join(sortedKeys(fields), ", "))
		case dup:
			d.report(sub, key, "duplicate field, first on line %d", line)
		default:
			seen[key.Value] = key.Line
			d.at[sub.path] = value
			decode(sub, value)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// decodeList decodes the elements of a sequence. With a kind, elements are items
// that are named by their field idField.
func decodeList[T any](d *decoder, p place, n *yaml.Node, kind, idField string, decode func(place, *yaml.Node) T) []T {
	if n.Kind != yaml.SequenceNode {
		d.fail(p, n, "want a list, found %s", kindName(n))
		return nil
	}
	var out []T
	for i, e := range n.Content {
		sub := place{path: p.path + "/" + strconv.Itoa(i), item: p.item, field: p.field}
		if kind != "" {
			sub.item, sub.field = itemName(kind, scalarField(e, idField), i), ""
			d.items[sub.path] = sub.item
		}
		d.at[sub.path] = e
		out = append(out, decode(sub, e))
	}
	return out
}

func scalarField(n *yaml.Node, name string) string {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name && n.Content[i+1].Kind == yaml.ScalarNode {
			return n.Content[i+1].Value
		}
	}
	return ""
}

// scalar sets s to the text of a scalar whose resolved type is one of tags.
func (d *decoder) scalar(p place, n *yaml.Node, s *string, tags ...string) bool {
	if n.Kind != yaml.ScalarNode || !slices.Contains(tags, n.ShortTag()) {
		hint := ""
		if n.Kind == yaml.ScalarNode && tags[0] == "!!str" && n.ShortTag() != "!!null" {
			hint = "; quote it"
		}
		d.fail(p, n, "want %s, found %s%s", tagNames[tags[0]], kindName(n), hint)
		return false
	}
	*s = n.Value
	return true
}

var tagNames = map[string]string{
	"!!str": "a string", "!!int": "a whole number", "!!float": "a number", "!!bool": "true or false",
	"!!null": "nothing", "!!timestamp": "a time", "!!binary": "binary data", "!!merge": "a merge key",
}

func kindName(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias (aliases are not allowed)"
	default:
		if name, ok := tagNames[n.ShortTag()]; ok {
			return name
		}
		return "a value of type " + n.ShortTag()
	}
}

func text[T ~string](d *decoder, v *T) func(place, *yaml.Node) {
	return func(p place, n *yaml.Node) {
		var s string
		if d.scalar(p, n, &s, "!!str") {
			*v = T(s)
		}
	}
}

func number[T ~int | ~int64](d *decoder, v *T) func(place, *yaml.Node) {
	return func(p place, n *yaml.Node) {
		var s string
		if !d.scalar(p, n, &s, "!!int") {
			return
		}
		i, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			d.fail(p, n, "%q: want a decimal whole number of at most 19 digits", s)
			return
		}
		*v = T(i)
	}
}

func (d *decoder) rate(v *fleet.PerSecond) func(place, *yaml.Node) {
	return func(p place, n *yaml.Node) {
		var s string
		if !d.scalar(p, n, &s, "!!float", "!!int") {
			return
		}
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
			d.fail(p, n, "%q: want a finite number of requests per second", s)
			return
		}
		*v = fleet.PerSecond(f)
	}
}

func (d *decoder) boolean(v *bool) func(place, *yaml.Node) {
	return func(p place, n *yaml.Node) {
		var s string
		if d.scalar(p, n, &s, "!!bool") {
			*v = s == "true"
		}
	}
}

func (d *decoder) duration(v *time.Duration) func(place, *yaml.Node) {
	return func(p place, n *yaml.Node) {
		var s string
		if !d.scalar(p, n, &s, "!!str") {
			return
		}
		dur, err := time.ParseDuration(s)
		if err != nil {
			d.fail(p, n, "%q: want a duration with its unit, such as 500ms or 10s", s)
			return
		}
		*v = dur
	}
}
