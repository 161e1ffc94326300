package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

var errNotReady = errors.New("the nodes did not become ready")

// Hosts and prefix of the routes to the services "desk" and "front".
const (
	deskHost   = "desk.example"
	frontHost  = "front.example"
	deskPrefix = "/book/"
	deskPath   = "/book/one"
)

// deskRoute is the route of pickup-book on vsha-mesh.
func deskRoute() route {
	return route{"r-desk", deskHost, deskPrefix, "unsafe", "desk", 1.5, 0.25, 1}
}

// startDeployment starts one node with a target of "front" and as many nodes with targets of "desk" as
// given, all with heartbeats. stop ends the heartbeats of one target. The targets whose numbers are in later are not
// started.
func startDeployment(e *env, desks, slots int, work time.Duration, r route, later ...int) (front *node, targets []*target, stop []chan struct{}, err error) {
	front = e.addNode("front", "suva")
	nodes := []*node{front}
	zones := []string{"suva", "nadi", "ba"}
	for i := range desks {
		nodes = append(nodes, e.addNode("desk", zones[(i+1)%len(zones)]))
	}
	e.putConfig(7, []string{"front", "desk"}, []route{r, {"r-front", frontHost, deskPrefix, "unsafe", "front", 1.5, 0.6, 0}})
	for i, n := range nodes {
		t := newTarget(n, fmt.Sprintf("i-%s-%d", n.service, i), slots, work)
		if err := n.start(); err != nil {
			return nil, nil, nil, err
		}
		s := make(chan struct{})
		targets, stop = append(targets, t), append(stop, s)
		if slices.Contains(later, i) {
			continue
		}
		if err := t.listen(); err != nil {
			return nil, nil, nil, err
		}
		go t.beats(s)
	}
	if !e.waitReady(10 * time.Second) {
		return nil, nil, nil, errNotReady
	}
	time.Sleep(contactS) // the machines are in touch, and the targets are known everywhere
	return front, targets, stop, nil
}

// lateHeartbeat: a target leaves, its node is killed and started again, and a heartbeat that was sent before
// the leave message arrives late.
func lateHeartbeat(e *env, trouble bool) (bool, error) {
	front, targets, stop, err := startDeployment(e, 2, 6, 60*time.Millisecond, deskRoute())
	if err != nil {
		return false, err
	}
	leaving := targets[1]
	var mu sync.Mutex
	var ran []time.Time // requests that the leaving target runs
	leaving.onRun = func(string) {
		mu.Lock()
		defer mu.Unlock()
		ran = append(ran, time.Now())
	}
	ended := make(chan struct{})
	counts := make(map[string]int)
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{env: e, node: front}
			for k := 0; ; k++ {
				select {
				case <-ended:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("req-%d-%04d", i, k)
				e.add("client %d: sends %s", i, id)
				r := c.do("POST", deskHost, deskPath, id, []byte("pond 7"), 1500*time.Millisecond)
				e.add("client %d: %s gets status %d stamp %q error %v", i, id, r.status, r.stamp, r.err)
				mu.Lock()
				counts[fmt.Sprint("status ", r.status)]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(time.Second)
	// The target's last heartbeat before it leaves is delayed on its way to the node.
	close(stop[1])
	late := leaving.heartbeatBody("ready")
	e.add("target %s: sends heartbeat %s, which is delayed", leaving.id, late)
	time.Sleep(200 * time.Millisecond)
	if !leaving.leave() {
		return false, errors.New("leave message not acknowledged")
	}
	acked := time.Now()
	e.add("target %s: leave message acknowledged", leaving.id)
	time.Sleep(300 * time.Millisecond)
	restarted := acked
	if trouble {
		leaving.node.kill()
		e.add("%s: killed", leaving.node.name)
		time.Sleep(500 * time.Millisecond)
		if err := leaving.node.start(); err != nil {
			return false, err
		}
		restarted = time.Now()
	}
	time.Sleep(time.Until(acked.Add(4 * time.Second)))
	acknowledged := leaving.report("instances.heartbeat", late, time.Second)
	e.add("target %s: the delayed heartbeat arrives, acknowledged: %t", leaving.id, acknowledged)
	// The target serves on for many seconds after it has said that it leaves, then exits.
	time.Sleep(time.Until(acked.Add(drainS + 8*time.Second)))
	mu.Lock()
	leaving.exit()
	exited := time.Now()
	mu.Unlock()
	time.Sleep(time.Second)
	close(ended)
	clients.Wait()
	// Requests count if they reach the target later than drainS after the acknowledgement, and if its node
	// has been running again for contactS.
	after := acked.Add(drainS)
	if inTouch := restarted.Add(contactS); inTouch.After(after) {
		after = inTouch
	}
	mu.Lock()
	defer mu.Unlock()
	reached := 0
	for _, at := range ran {
		if at.After(after) {
			reached++
		}
	}
	e.say("target left at 0 s and exited at %.1f s; requests that it ran later than %.1f s: %d; answers to all clients: %v",
		exited.Sub(acked).Seconds(), after.Sub(acked).Seconds(), reached, counts)
	if counts["status 200"] < 50 {
		return false, errors.New("too few requests were served")
	}
	return reached > 0, nil
}
