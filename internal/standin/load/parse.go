package load

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
)

// parseFields reads "name=value;name=value".
func parseFields(s string, set map[string]func(string) error) error {
	for part := range strings.SplitSeq(s, ";") {
		name, value, ok := strings.Cut(part, "=")
		f := set[name]
		if !ok || f == nil {
			return errors.Errorf("%q in %q: want name=value with a known name", part, s)
		}
		if err := f(value); err != nil {
			return errors.Wrapf(err, "%q in %q", part, s)
		}
	}
	return nil
}

func text[T ~string](out *T) func(string) error {
	return func(v string) error { *out = T(v); return nil }
}

func decimal(out *float64) func(string) error {
	return func(v string) (err error) { *out, err = strconv.ParseFloat(v, 64); return err }
}

func whole(out *int) func(string) error {
	return func(v string) (err error) { *out, err = strconv.Atoi(v); return err }
}

// ParseTarget reads "name=i1;addr=127.0.0.1:8080", with service=... for an
// upstream.
func ParseTarget(s string) (t Target, err error) {
	return t, parseFields(s, map[string]func(string) error{
		"name": text(&t.Name), "addr": text(&t.Addr), "service": text(&t.Service),
	})
}

// ParseAccount reads "id=a1;key=secret;rate=100", optionally with times=3 and
// target=i1;share=0.5.
func ParseAccount(s string) (a Account, err error) {
	return a, parseFields(s, map[string]func(string) error{
		"id": text(&a.ID), "key": text(&a.Key), "rate": decimal(&a.Rate), "times": decimal(&a.Times),
		"target": text(&a.Target), "share": decimal(&a.Share),
	})
}

// ParseEntry reads
// "id=find;service=lookup;prefix=/lookup/;class=idempotent;weight=5;keys=2000;skew=1.1".
func ParseEntry(s string) (e Entry, err error) {
	e = Entry{Class: catalogue.Idempotent, Weight: 1, Keys: 1000}
	return e, parseFields(s, map[string]func(string) error{
		"id": text(&e.ID), "service": text(&e.Service), "prefix": text(&e.Prefix), "class": text(&e.Class),
		"weight": decimal(&e.Weight), "keys": whole(&e.Keys), "skew": decimal(&e.Skew),
	})
}

// Format returns what ParseTarget reads.
func (t Target) Format() string {
	s := "name=" + t.Name + ";addr=" + t.Addr
	if t.Service != "" {
		s += ";service=" + string(t.Service)
	}
	return s
}

// Format returns what ParseAccount reads.
func (a Account) Format() string {
	s := "id=" + string(a.ID) + ";key=" + string(a.Key) + ";rate=" + number(a.Rate)
	if a.Times != 0 {
		s += ";times=" + number(a.Times)
	}
	if a.Target != "" {
		s += ";target=" + a.Target + ";share=" + number(a.Share)
	}
	return s
}

// Format returns what ParseEntry reads.
func (e Entry) Format() string {
	return "id=" + string(e.ID) + ";service=" + string(e.Service) + ";prefix=" + e.Prefix + ";class=" + string(e.Class) +
		";weight=" + number(e.Weight) + ";keys=" + strconv.Itoa(e.Keys) + ";skew=" + number(e.Skew)
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
