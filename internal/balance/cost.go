//go:build !baseline

package balance

// chooseByCost makes Choose take the upstream with the lowest estimated cost. A build
// with the tag baseline chooses at random, as the reference for measuring the benefit
// of the estimates.
const chooseByCost = true
