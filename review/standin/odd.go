package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["odd"] = oddCase }

// Rounds of the case, and the time between two of them.
const (
	oddRounds    = 4
	oddSettleFor = 10 * time.Second
)

// oddCase: a heartbeat of another writer, in which fields are missing or have another type, arrives at a node.
func oddCase(e *env) error {
	e.rules = []string{"OWNER"}
	return inRounds(e, oddRounds, oddSettleFor, func(round int, victim *machine) error {
		odd := map[string]any{"service": victim.target.service, "address": victim.target.address, "zone": victim.zone, "version": "v1",
			"slots": 9, "state": "draining", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "holds": []int{}, "freed": []int{}}
		switch round % 4 {
		case 0:
			for _, name := range []string{"zone", "version", "cold_remaining_ms", "sequence", "holds", "freed"} {
				delete(odd, name)
			}
		case 1:
			odd["zone"], odd["version"] = 7, []string{"v1"}
		case 2:
			delete(odd, "holds")
			delete(odd, "freed")
		case 3:
			delete(odd, "zone")
			delete(odd, "sequence")
		}
		data, _ := json.Marshal(odd)
		status := 0
		resp, err := http.Post("http://"+victim.target.control+"/v1/instances/i-00dd/heartbeat", "application/json", bytes.NewReader(data))
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		e.rec.log("the node beside target %s gets an odd heartbeat: %s; status %d, error %v", victim.target.id, data, status, err)
		return nil
	})
}
