package routes

// Kind states how often a request of a route may run. It is one of Safe, Download, Unsafe,
// Upload and UnknownKind; nil counts as Unsafe.
type Kind interface{ kind() }

type (
	// Safe is the kind of requests that may run any number of times.
	Safe struct{}
	// Download is the kind of safe requests whose responses are large.
	Download struct{}
	// Unsafe is the kind of requests that may run at most once.
	Unsafe struct{}
	// Upload is the kind of requests that may run at most once and have large bodies.
	Upload struct{}
	// UnknownKind is a kind that this version of the program does not implement. Its
	// requests may run at most once.
	UnknownKind struct{ Name string }
)

func (Safe) kind()        {}
func (Download) kind()    {}
func (Unsafe) kind()      {}
func (Upload) kind()      {}
func (UnknownKind) kind() {}

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	switch r.Kind.(type) {
	case Safe, Download:
		return true
	}
	return false
}
