package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// silence is how long the store gives no answers.
	silence = 4500 * time.Millisecond
	// contact and apply are contactMs and configApplyMs.
	contact = 3 * time.Second
	apply   = 2 * time.Second
	// newKey replaces apiKey with the change of the configuration.
	newKey = "xd9dnn2ctnfzs989anu6"
)

// silentStore changes the tenant's key just after the store was silent, and asks all daemons with the new and the old key
// when they are in touch again and the change was acknowledged long enough ago.
func silentStore(s *system, trouble bool) (int, error) {
	for i, zone := range []string{"bzh-rennes", "bzh-brest", "bzh-vannes"} {
		x := &server{id: fmt.Sprintf("i-%d", i), service: "huvo11a", zone: zone, version: "v1", slots: 6}
		x.serve = func(w http.ResponseWriter, r *http.Request) {
			s.rec.log("server %s runs request %s", x.id, r.Header.Get("Dragonflyroute-Request-Id"))
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "recorded")
		}
		if err := s.addServer(x); err != nil {
			return cannot, err
		}
	}
	routes := []map[string]any{{
		"name": "r-1", "host": hostName, "prefix": "/pule252/", "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
		"service": "huvo11a", "maxAttempts": 1, "public": false,
	}}
	services := []map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}}
	s.configure(7, routes, services)
	for i, zone := range []string{"bzh-rennes", "bzh-brest", "bzh-vannes"} {
		if _, err := s.start(fmt.Sprintf("edge-%s-%d", zone, i), zone); err != nil {
			return cannot, err
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return cannot, err
	}
	time.Sleep(4 * time.Second)
	s.configure(9, routes, services)
	time.Sleep(2 * time.Second)
	if trouble {
		s.rec.log("the store is silent for %v", silence)
		s.store.silence(silence)
	}
	time.Sleep(silence)
	back := time.Now()
	s.rec.log("the store answers again")
	time.Sleep(200 * time.Millisecond)
	s.configure(14, routes, services, newKey)
	ack := time.Now()
	time.Sleep(time.Until(back.Add(contact + 100*time.Millisecond)))
	wrong := 0
	for time.Since(back) < contact+2*time.Second {
		for _, d := range s.daemons {
			for key, want := range map[string]int{newKey: http.StatusOK, apiKey: http.StatusUnauthorized} {
				c, err := open(d.front)
				if err != nil {
					return cannot, err
				}
				a := c.ask(request{method: "POST", path: "/pule252/2f", body: "amount=2500", deadline: 4 * time.Second, key: key})
				c.close()
				word := map[bool]string{true: "added", false: "removed"}[key == newKey]
				s.rec.log("request %s with the %s key, sent to %s %d ms after the ack and %d ms after the store's return: status %d (%v)",
					a.id, word, d.name, a.sent.Sub(ack).Milliseconds(), a.sent.Sub(back).Milliseconds(), a.status, a.err)
				if a.err == nil && a.status != want && a.sent.Sub(ack) > apply && (a.status == http.StatusOK || a.status == http.StatusUnauthorized) {
					wrong++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.say("%d requests, sent later than configApplyMs after the ack, were handled as only the older version allows", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
