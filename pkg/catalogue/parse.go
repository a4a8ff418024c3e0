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

// FieldError is one error in a catalogue. File, Line and Column are zero if the
// catalogue was not parsed from a file; Line and Column are also zero for a file
// that is too large.
type FieldError struct {
	File         string
	Line, Column int    // counted from 1
	Item         string // for example `entry "hall"`; empty outside of items
	Field        string // for example "routing-key.name"; empty for a whole item
	Problem      string // what is wrong or what was expected
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

// Errors holds every error found in a catalogue, in the order of the file.
type Errors []*FieldError

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) errOrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// Parse parses and checks a catalogue in YAML and sets defaults. The error is an
// Errors with every error found, including those that Check finds. The name file is
// used in error messages only. Data of more than MaxSize bytes is refused.
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
	d := &decoder{file: file, nodes: make(map[string]*yaml.Node), itemNames: make(map[string]string), undecoded: make(map[string]bool)}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		d.report(location{}, &second, "a second document; only one is allowed")
	} else if !errors.Is(err, io.EOF) {
		return nil, Errors{syntaxError(file, err)}
	}
	c := d.catalogue(doc.Content[0])
	for _, p := range c.check() {
		if !d.isUndecoded(p.path) {
			d.reportProblem(p)
		}
	}
	slices.SortStableFunc(d.errs, func(a, b *FieldError) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if err := d.errs.errOrNil(); err != nil {
		return nil, err
	}
	return c, nil
}

var yamlErrorPattern = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

// syntaxError converts an error of the yaml library, such as
// "yaml: line 3: problem", to a FieldError. The library reports no column for
// syntax errors, so the column is 1.
func syntaxError(file string, err error) *FieldError {
	m := yamlErrorPattern.FindStringSubmatch(strings.ReplaceAll(err.Error(), "\n", " "))
	if m == nil {
		return &FieldError{File: file, Line: 1, Column: 1, Problem: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	return &FieldError{File: file, Line: max(line, 1), Column: 1, Problem: m[2]}
}

// location identifies the value that is being decoded. The path, for example
// /entries/0/owner, relates the problems that check finds to YAML nodes; item and
// field name the value in error messages.
type location struct {
	path, item, field string
}

func (p location) child(name string) location {
	p.path += "/" + name
	if p.field != "" {
		p.field += "."
	}
	p.field += name
	return p
}

// decoder decodes a YAML document and collects its errors.
type decoder struct {
	file      string
	errs      Errors
	nodes     map[string]*yaml.Node // by path
	itemNames map[string]string     // names of items in error messages, by path
	undecoded map[string]bool       // paths of values that could not be decoded
}

// fail reports a value that could not be decoded. Parse then omits the problems
// that check finds in it, since they only follow from this error.
func (d *decoder) fail(p location, n *yaml.Node, format string, args ...any) {
	d.undecoded[p.path] = true
	d.report(p, n, format, args...)
}

// isUndecoded reports whether the value at path or one that contains it could not
// be decoded.
func (d *decoder) isUndecoded(path string) bool {
	for path != "" {
		if d.undecoded[path] {
			return true
		}
		path = parentPath(path)
	}
	return false
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}

func (d *decoder) report(p location, n *yaml.Node, format string, args ...any) {
	d.errs = append(d.errs, &FieldError{
		File: d.file, Line: n.Line, Column: n.Column,
		Item: p.item, Field: p.field, Problem: fmt.Sprintf(format, args...),
	})
}

// reportProblem reports a problem at the position of its value or, if the value is
// missing, of the innermost value that contains it. The root always has a node.
func (d *decoder) reportProblem(p problem) {
	path := p.path
	for d.nodes[path] == nil {
		path = parentPath(path)
	}
	n := d.nodes[path]
	item := p.item
	for item == p.item && path != "" {
		if name, ok := d.itemNames[path]; ok {
			item = name
		}
		path = parentPath(path)
	}
	d.report(location{p.path, item, p.field}, n, "%s", p.text)
}

func (d *decoder) catalogue(n *yaml.Node) *Catalogue {
	c := &Catalogue{}
	d.object(location{}, n, map[string]func(location, *yaml.Node){
		listServices:     func(p location, n *yaml.Node) { c.Services = decodeList(d, p, n, "service", "id", d.service) },
		listEntries:      func(p location, n *yaml.Node) { c.Entries = decodeList(d, p, n, "entry", "id", d.entry) },
		listAccounts:     func(p location, n *yaml.Node) { c.Accounts = decodeList(d, p, n, "account", "id", d.account) },
		listCallerKeys:   func(p location, n *yaml.Node) { c.CallerKeys = decodeList(d, p, n, "caller key", "hash", d.callerKey) },
		listOutOfService: func(p location, n *yaml.Node) { c.OutOfService = decodeList(d, p, n, "outage", "name", d.outage) },
	})
	return c
}

func (d *decoder) service(p location, n *yaml.Node) Service {
	s := Service{Shards: DefaultShards, ColdSlots: DefaultColdSlots, WarmTime: DefaultWarmTime, Fencing: FencingChecked, Timeout: DefaultTimeout}
	d.object(p, n, map[string]func(location, *yaml.Node){
		"id":         decodeText(d, &s.ID),
		"shards":     decodeInt(d, &s.Shards),
		"slots":      decodeInt(d, &s.Slots),
		"cold-slots": decodeInt(d, &s.ColdSlots),
		"warm-time":  d.decodeDuration(&s.WarmTime),
		"fencing":    decodeText(d, &s.Fencing),
		"timeout":    d.decodeDuration(&s.Timeout),
	})
	return s
}

func (d *decoder) entry(p location, n *yaml.Node) Entry {
	var e Entry
	d.object(p, n, map[string]func(location, *yaml.Node){
		"id":          decodeText(d, &e.ID),
		"owner":       decodeText(d, &e.Owner),
		"service":     decodeText(d, &e.Service),
		"path-prefix": decodeText(d, &e.PathPrefix),
		"class":       decodeText(d, &e.Class),
		"rate":        d.decodeRate(&e.Limit.Rate),
		"burst":       decodeInt(d, &e.Limit.Burst),
		"routing-key": func(p location, n *yaml.Node) { e.RoutingKey = d.keySource(p, n) },
		"open":        d.decodeBool(&e.Open),
		"accounts": func(p location, n *yaml.Node) {
			e.Accounts = decodeList(d, p, n, "", "", func(p location, n *yaml.Node) (id fleet.AccountID) {
				decodeText(d, &id)(p, n)
				return id
			})
		},
	})
	return e
}

func (d *decoder) keySource(p location, n *yaml.Node) KeySource {
	k := KeySource{Segment: segmentMissing}
	d.object(p, n, map[string]func(location, *yaml.Node){
		"from":    decodeText(d, &k.From),
		"name":    decodeText(d, &k.Name),
		"segment": decodeInt(d, &k.Segment),
	})
	if k.From != FromPathSegment && k.Segment == segmentMissing {
		k.Segment = 0
	}
	return k
}

func (d *decoder) account(p location, n *yaml.Node) Account {
	var a Account
	d.object(p, n, map[string]func(location, *yaml.Node){
		"id":    decodeText(d, &a.ID),
		"rate":  d.decodeRate(&a.Limit.Rate),
		"burst": decodeInt(d, &a.Limit.Burst),
	})
	return a
}

func (d *decoder) callerKey(p location, n *yaml.Node) CallerKey {
	var k CallerKey
	d.object(p, n, map[string]func(location, *yaml.Node){
		"hash": func(p location, n *yaml.Node) {
			var s string
			if !d.scalar(p, n, &s, "!!str") {
				return
			}
			// The message omits the value, which may be a caller key entered by mistake.
			h, ok := parseHash(s)
			if !ok {
				d.fail(p, n, "want 64 hexadecimal digits (SHA-256 of the caller key)")
				return
			}
			k.Hash = h
		},
		"account": decodeText(d, &k.Account),
		"note":    decodeText(d, &k.Note),
	})
	return k
}

func (d *decoder) outage(p location, n *yaml.Node) Outage {
	var o Outage
	d.object(p, n, map[string]func(location, *yaml.Node){
		"kind": decodeText(d, &o.Kind),
		"name": decodeText(d, &o.Name),
		"by":   decodeText(d, &o.By),
		"at": func(p location, n *yaml.Node) {
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

// object calls the decoder of each field of a mapping, by name, and reports unknown
// and duplicate fields.
func (d *decoder) object(p location, n *yaml.Node, fields map[string]func(location, *yaml.Node)) {
	d.nodes[p.path] = n
	if n.Kind != yaml.MappingNode {
		d.fail(p, n, "want a mapping, found %s", kindName(n))
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		sub := p.child(key.Value)
		decode, known := fields[key.Value]
		switch line, dup := seen[key.Value]; {
		case key.Kind != yaml.ScalarNode || !known:
			d.report(p, key, "unknown field %q; known: %s", key.Value, strings.Join(sortedKeys(fields), ", "))
		case dup:
			d.report(sub, key, "duplicate field, first on line %d", line)
		default:
			seen[key.Value] = key.Line
			d.nodes[sub.path] = value
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

// decodeList decodes the elements of a sequence. If kind is not empty, the elements
// are items of that kind, and errors name them by the value of their field idField.
func decodeList[T any](d *decoder, p location, n *yaml.Node, kind, idField string, decode func(location, *yaml.Node) T) []T {
	if n.Kind != yaml.SequenceNode {
		d.fail(p, n, "want a list, found %s", kindName(n))
		return nil
	}
	var out []T
	for i, e := range n.Content {
		sub := location{path: p.path + "/" + strconv.Itoa(i), item: p.item, field: p.field}
		if kind != "" {
			sub.item, sub.field = itemName(kind, scalarField(e, idField), i), ""
			d.itemNames[sub.path] = sub.item
		}
		d.nodes[sub.path] = e
		out = append(out, decode(sub, e))
	}
	return out
}

// scalarField returns the text of the named field of a mapping, or "" if there is
// no such field or its value is not a scalar.
func scalarField(n *yaml.Node, name string) string {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name && n.Content[i+1].Kind == yaml.ScalarNode {
			return n.Content[i+1].Value
		}
	}
	return ""
}

// scalar sets s to the text of n and returns true if n is a scalar whose resolved
// YAML tag is one of tags. Otherwise it reports an error that asks for the type
// tags[0].
func (d *decoder) scalar(p location, n *yaml.Node, s *string, tags ...string) bool {
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

// tagNames maps YAML tags to the names of their types in error messages.
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

func decodeText[T ~string](d *decoder, v *T) func(location, *yaml.Node) {
	return func(p location, n *yaml.Node) {
		var s string
		if d.scalar(p, n, &s, "!!str") {
			*v = T(s)
		}
	}
}

func decodeInt[T ~int | ~int64](d *decoder, v *T) func(location, *yaml.Node) {
	return func(p location, n *yaml.Node) {
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

func (d *decoder) decodeRate(v *fleet.PerSecond) func(location, *yaml.Node) {
	return func(p location, n *yaml.Node) {
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

func (d *decoder) decodeBool(v *bool) func(location, *yaml.Node) {
	return func(p location, n *yaml.Node) {
		var s string
		if d.scalar(p, n, &s, "!!bool") {
			*v = s == "true"
		}
	}
}

func (d *decoder) decodeDuration(v *time.Duration) func(location, *yaml.Node) {
	return func(p location, n *yaml.Node) {
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
