//go:build !baseline

package balance

// weighted makes Choose go by what is known of upstreams. A build with the tag
// baseline chooses at random, to measure what the knowledge earns.
const weighted = true
