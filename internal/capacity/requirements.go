package capacity

const unitsPerUpstream = 23 // 256 shards of three services over 33 upstreams
