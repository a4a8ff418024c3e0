//go:build baseline

package keyspace

const balanceByLoad = false
