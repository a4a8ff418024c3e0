//go:build baseline

package balance

const chooseByCost = false
