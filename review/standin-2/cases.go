package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() {
	cases["hot-key-zero"] = hotKeyZero
	cases["unregistered-status"] = unregisteredStatus
}

// token is the key of all callers.
const token = "xd9dnn2ctnfzs989anu6"

// configuration is that of the small deployment, with one account without a limit.
const configuration = `{"version":"00000007","services":[` +
	`{"name":"directorio","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"cold":"3s","coldPerS":6.1,"sharded":true,"warmup":"5s","grants":"rpc"},` +
	`{"name":"registro","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"cold":"3s","coldPerS":6.1},` +
	`{"name":"bitacora","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"cold":"3s","coldPerS":6.1}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
	`"tenants":[{"name":"yefi830","apiKeys":["` + token + `"]}],"virtualHosts":[` +
	`{"host":"directorio.example","pathRules":[{"name":"host-lookup","prefix":"/lookup/","kind":"safe","timeout":"1200ms","targetLatency":"600ms","priority":2,"service":"directorio","maxAttempts":2,"public":false}]},` +
	`{"host":"registro.example","pathRules":[{"name":"badge-checkin","prefix":"/checkin/","kind":"unsafe","timeout":"1500ms","targetLatency":"800ms","priority":1,"service":"registro","maxAttempts":2,"public":false}]},` +
	`{"host":"bitacora.example","pathRules":[{"name":"visit-log","prefix":"/visits/","kind":"safe","timeout":"3000ms","targetLatency":"1500ms","priority":2,"service":"bitacora","maxAttempts":2,"public":false}]}]}`

// The rates of the classes are those of the site file, 287 requests/s together.
var (
	lookups  = class{name: "host-lookup", method: http.MethodGet, host: "directorio.example", path: "/lookup/a", perSecond: 166, deadline: 2500 * time.Millisecond, key: randomKey}
	checkIns = class{name: "badge-checkin", method: http.MethodPost, host: "registro.example", path: "/checkin/a", perSecond: 67, deadline: 3 * time.Second}
	visits   = class{name: "visit-log", method: http.MethodGet, host: "bitacora.example", path: "/visits/a", perSecond: 54, deadline: 6 * time.Second}
)

func randomKey() int { return rand.IntN(1 << 16) }

// startAll starts the upstreams and the instances, and waits until the traffic may start.
func (d *deployment) startAll() error {
	d.setConfig(configuration)
	speeds := []float64{0.5, 1, 1, 1.5}
	for i := range 15 {
		if _, err := d.addUpstream(upstreamConfig{service: "directorio", sharded: true, work: 220 * time.Millisecond, speed: speeds[i%len(speeds)]}); err != nil {
			return err
		}
	}
	for i := range 8 {
		if _, err := d.addUpstream(upstreamConfig{service: "registro", work: 290 * time.Millisecond, speed: speeds[i%len(speeds)]}); err != nil {
			return err
		}
	}
	for i := range 12 {
		if _, err := d.addUpstream(upstreamConfig{service: "bitacora", work: 550 * time.Millisecond, speed: []float64{0.6, 1, 1.4}[i%3]}); err != nil {
			return err
		}
	}
	begun := time.Now()
	if err := d.startInstances(); err != nil {
		return err
	}
	if err := d.awaitReady(leadTime); err != nil {
		return err
	}
	time.Sleep(leadTime - time.Since(begun))
	return nil
}

// hotKeyZero plays times in which much of the traffic is for key 0, and counts the requests
// from kept connections that were passed on to an upstream and whose connection was closed
// without an answer.
func hotKeyZero(d *deployment, trouble bool) (verdict, error) {
	const (
		firstCalm = 6 * time.Second
		calmTime  = 5 * time.Second
		hotTime   = 6000 * time.Millisecond
		hotShare  = 0.45
		hotTimes  = 7
	)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	hot := lookups
	hot.key = func() int {
		if rand.Float64() < hotShare {
			return 0
		}
		return randomKey()
	}
	if !trouble {
		hot = lookups
	}
	c := newCallers(d, token)
	c.run([]class{lookups, checkIns, visits}, firstCalm)
	for range hotTimes {
		d.rec.printf("disruption: hot_key, share %.2f of host-lookup for key 0, for %v: %t", hotShare, hotTime, trouble)
		c.run([]class{hot, checkIns, visits}, hotTime)
		c.run([]class{lookups, checkIns, visits}, calmTime)
	}
	lost := 0
	for _, a := range c.attempts {
		if a.kept && a.status == 0 && closedWithoutAnswer(a.err) && d.seen(a.id).arrived > 0 {
			lost++
			d.rec.printf("lost: %s %s to %s", a.id, a.class, a.instance.name)
		}
	}
	return verdict{lost > 3, fmt.Sprintf("%d requests from kept connections reached an upstream and their connections were closed without an answer (more than 3 break LOST); %d processes ended by themselves", lost, d.ownEnds())}, nil
}

// unregisteredStatus makes an upstream fail a part of its runs with a status that is not in
// the registry of HTTP, and counts the callers that got a success for such a run.
func unregisteredStatus(d *deployment, trouble bool) (verdict, error) {
	const (
		failedShare = 0.45
		status      = 520
		length      = 20 * time.Second
	)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	for _, u := range d.upstreams {
		if u.cfg.service == "registro" && u.cfg.speed > 1 {
			d.rec.printf("disruption: srv_grey, %s fails a share %.2f of its runs with status %d: %t", u.ID(), failedShare, status, trouble)
			if trouble {
				u.setStatus(func() int {
					if rand.Float64() < failedShare {
						return status
					}
					return http.StatusOK
				})
			}
			break
		}
	}
	c := newCallers(d, token)
	c.run([]class{lookups, checkIns, visits}, length)
	mixed, failed := 0, 0
	for _, a := range c.attempts {
		o := d.seen(a.id)
		if len(o.statuses) != 1 || o.ran != 1 || o.statuses[0] < 300 {
			continue
		}
		failed++
		if a.status >= 200 && a.status < 300 {
			mixed++
			d.rec.printf("mixed: %s %s: upstream answered %d, caller got %d with seal %q and body %q", a.id, a.class, o.statuses[0], a.status, a.seal, a.body)
		}
	}
	return verdict{mixed > 0, fmt.Sprintf("%d of %d runs that their upstream answered with a failure reached their callers as a success", mixed, failed)}, nil
}
