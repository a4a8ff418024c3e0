package load

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
)

// parseFields parses "name=value;name=value" and calls the setter of each name.
func parseFields(s string, setters map[string]func(string) error) error {
	for part := range strings.SplitSeq(s, ";") {
		name, value, ok := strings.Cut(part, "=")
		setter := setters[name]
		if !ok || setter == nil {
			return errors.Errorf("invalid field %q in %q: want name=value with a known name", part, s)
		}
		if err := setter(value); err != nil {
			return errors.Wrapf(err, "parse field %q in %q", part, s)
		}
	}
	return nil
}

func stringSetter[T ~string](out *T) func(string) error {
	return func(v string) error { *out = T(v); return nil }
}

func floatSetter(out *float64) func(string) error {
	return func(v string) (err error) { *out, err = strconv.ParseFloat(v, 64); return err }
}

func intSetter(out *int) func(string) error {
	return func(v string) (err error) { *out, err = strconv.Atoi(v); return err }
}

// ParseTarget parses a target such as "name=i1;addr=127.0.0.1:8080". An upstream
// has the field service as well.
func ParseTarget(s string) (t Target, err error) {
	return t, parseFields(s, map[string]func(string) error{
		"name": stringSetter(&t.Name), "addr": stringSetter(&t.Addr), "service": stringSetter(&t.Service),
	})
}

// ParseAccount parses an account such as "id=a1;key=secret;rate=100", with the
// optional fields "times=3" and "target=i1;share=0.5".
func ParseAccount(s string) (a Account, err error) {
	return a, parseFields(s, map[string]func(string) error{
		"id": stringSetter(&a.ID), "key": stringSetter(&a.Key), "rate": floatSetter(&a.Rate), "times": floatSetter(&a.LoadFactor),
		"target": stringSetter(&a.Target), "share": floatSetter(&a.TargetShare),
	})
}

// ParseEntry parses an entry such as
// "id=find;service=lookup;prefix=/lookup/;class=idempotent;weight=5;keys=2000;skew=1.1".
// The defaults are class idempotent, weight 1 and 1000 keys.
func ParseEntry(s string) (e Entry, err error) {
	e = Entry{Class: catalogue.Idempotent, Weight: 1, Keys: 1000}
	return e, parseFields(s, map[string]func(string) error{
		"id": stringSetter(&e.ID), "service": stringSetter(&e.Service), "prefix": stringSetter(&e.Prefix), "class": stringSetter(&e.Class),
		"weight": floatSetter(&e.Weight), "keys": intSetter(&e.Keys), "skew": floatSetter(&e.Skew),
	})
}

// Format returns the target in the syntax of ParseTarget.
func (t Target) Format() string {
	s := "name=" + t.Name + ";addr=" + t.Addr
	if t.Service != "" {
		s += ";service=" + string(t.Service)
	}
	return s
}

// Format returns the account in the syntax of ParseAccount.
func (a Account) Format() string {
	s := "id=" + string(a.ID) + ";key=" + string(a.Key) + ";rate=" + formatFloat(a.Rate)
	if a.LoadFactor != 0 {
		s += ";times=" + formatFloat(a.LoadFactor)
	}
	if a.Target != "" {
		s += ";target=" + a.Target + ";share=" + formatFloat(a.TargetShare)
	}
	return s
}

// Format returns the entry in the syntax of ParseEntry.
func (e Entry) Format() string {
	return "id=" + string(e.ID) + ";service=" + string(e.Service) + ";prefix=" + e.Prefix + ";class=" + string(e.Class) +
		";weight=" + formatFloat(e.Weight) + ";keys=" + strconv.Itoa(e.Keys) + ";skew=" + formatFloat(e.Skew)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
