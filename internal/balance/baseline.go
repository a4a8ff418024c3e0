//go:build baseline

package balance

const weighted = false
