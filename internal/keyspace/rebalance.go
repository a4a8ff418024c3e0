//go:build !baseline

package keyspace

// balanceByLoad makes Plan move keys from busy to idle upstreams. A build with the tag
// baseline moves keys only from upstreams that are lost or leave, as the reference for
// measuring the benefit of load balancing.
const balanceByLoad = true
