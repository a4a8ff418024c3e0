//go:build review3

package main

// host is the host of all routes.
const host = "h.example"

// standardConfig has a route of each kind. The account has no limit.
const standardConfig = `{"version":"0000000c","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"services":[{"name":"desk","healthPath":"/healthz","maxConns":120,"protocol":"h1","tls":false,"cold":"3s","coldPerS":10.0},
{"name":"vault","healthPath":"/healthz","maxConns":120,"protocol":"h1","tls":false,"cold":"3s","coldPerS":10.0,"sharded":true,"warmup":"5s","grants":"rpc"}],
"tenants":[{"name":"acme","apiKeys":["key-acme"],"priority":0,"ratePerS":0,"burst":0}],
"virtualHosts":[{"host":"h.example","pathRules":[
{"name":"read","prefix":"/read/","kind":"safe","timeout":"1500ms","targetLatency":"400ms","service":"desk","maxAttempts":2,"priority":1,"public":false},
{"name":"book","prefix":"/book/","kind":"unsafe","timeout":"2000ms","targetLatency":"500ms","service":"desk","maxAttempts":2,"priority":1,"public":false},
{"name":"keys","prefix":"/keys/","kind":"safe","timeout":"3000ms","targetLatency":"800ms","service":"vault","maxAttempts":2,"priority":2,"public":false}]}]}`
