//go:build !baseline

package keyspace

// evened makes the plan move keys by load. A build with the tag baseline moves them
// only from upstreams that are lost or leave, to measure what the moves earn.
const evened = true
