package scene_test

import (
	"fmt"
	"slices"
	"time"
)

const (
	// minDown and maxDown bound the time for which an endpoint that is restarted is down.
	minDown = 200 * time.Millisecond
	maxDown = 1500 * time.Millisecond
	// minEvacuated and maxEvacuated bound the time for which an evacuation lasts once it must be in force: long enough that
	// some hosts are in touch again after their faults.
	minEvacuated = 3 * time.Second
	maxEvacuated = 8 * time.Second
)

// dataCentres are the data centres of the endpoints of runs with cold endpoints.
var dataCentres = []string{"here", "there"}

// coldFaults returns the faults of a run in which endpoints are cold after their start and data centres are evacuated, while
// hosts stop, configurations change and the store fails.
func (k *soak) coldFaults() []func() {
	return []func(){
		k.restartEndpoint, k.restartEndpoint, k.restartEndpoint, k.evacuateFault, k.evacuateFault, k.addEndpointFault, k.killEndpoint,
		k.suspendHost, k.killHost, k.stopHost, k.stopSeveral, k.addHostFault, k.peerLink, k.hangUpHosts, k.changeConfiguration,
		k.storeLink, k.storeDown, k.storeLosesResponses, k.compactStore, k.restoreFault,
	}
}

// nextZone returns the data centre of the endpoint that was added last.
func (k *soak) nextZone() string {
	if k.cold == "" {
		return dataCentres[0]
	}
	return dataCentres[k.endpointsAdded%len(dataCentres)]
}

// restartEndpoint restarts an endpoint under its id and address.
func (k *soak) restartEndpoint() {
	id := k.endpoints[k.rand.IntN(len(k.endpoints))]
	down := minDown + time.Duration(k.rand.Int64N(int64(maxDown-minDown)))
	k.logFault("endpoint %s restarted, down for %s", id, down)
	k.checker.endpointFault()
	k.control(fmt.Sprintf("/restart?id=%s&down=%s", id, down))
	k.checker.endpointFault()
}

// evacuateFault evacuates a data centre, and takes it back with cold endpoints.
func (k *soak) evacuateFault() {
	if k.evacuated != "" {
		return
	}
	k.evacuated = dataCentres[k.rand.IntN(len(dataCentres))]
	k.logFault("data centre %s evacuated", k.evacuated)
	k.evacuate(k.evacuated)
	due := time.Now().Add(evacuateTime + minEvacuated + time.Duration(k.rand.Int64N(int64(maxEvacuated-minEvacuated))))
	k.reverts = append(k.reverts, soakRevert{due: due, revert: func() {
		k.logFault("data centre %s taken back", k.evacuated)
		k.control(fmt.Sprintf("/cold?zone=%s&for=%s", k.evacuated, coldTime))
		k.takeBack(k.evacuated)
		k.evacuated = ""
	}})
}

// checkCold checks that no cold endpoint got more requests in a second than it bears, from all hosts, also those with a fault.
// Requests that faulty connections to the endpoint held up do not count.
func (k *soak) checkCold(seen siteRecord) {
	arrivals := 0
	for id, events := range seen.Cold {
		arrivals += len(events)
		counted := slices.DeleteFunc(events, func(e limitEvent) bool { return within(e.at(), k.checker.endpointFaults[id]) })
		if n := busiestSecond(counted); n > mostCold {
			k.checker.addViolation("cold endpoint %s got %d requests in a second: %v", id, n, counted)
		}
	}
	k.coldSummary = fmt.Sprintf("; %d requests to cold endpoints", arrivals)
}

// checkEvacuated checks that no request reached an evacuated data centre late, from a host in touch with the others and the
// store.
func (k *soak) checkEvacuated(seen siteRecord) {
	arrivals := 0
	for id, events := range seen.Evacuated {
		arrivals += len(events)
		for _, e := range events {
			if e.late() && k.heardAll(e) && !within(e.at(), k.checker.endpointFaults[id]) {
				k.checker.addViolation("request %s reached %s %d ms after its evacuation, at %s", e.Request, id, e.AfterMillis, e.at().Format("15:04:05.000"))
			}
		}
	}
	k.coldSummary += fmt.Sprintf(", %d to evacuated data centres", arrivals)
}

// heardAll reports whether the host of a request was in touch with the others and the store when it arrived.
func (k *soak) heardAll(e evacuatedArrival) bool {
	host, ok := k.checker.hostOf[e.Request]
	if !ok || !k.inTouch(host, e.at()) {
		return false
	}
	return !within(e.at(), k.prompts.storeFaults[host]) && !within(e.at(), k.prompts.storeFaults[everyHost])
}
