//go:build baseline

package keyspace

const evened = false
