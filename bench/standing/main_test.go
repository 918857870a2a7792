package main

import (
	"encoding/json"
	"testing"
)

// TestCompare checks that a quick score is compared with the last quick one, and that a day with a
// fault or an empty journal is reported.
func TestCompare(t *testing.T) {
	var list []entry
	for _, text := range []string{
		`{"id":"a","cmd":"real-score","argv":["S","--quick"],"figures":{"real_score":0.9},"days":[{"name":"herd+mass","score":0.9,"sound":true}]}`,
		`{"id":"b","cmd":"real-score","argv":["S"],"figures":{"real_score":0.8},"days":[{"name":"herd+mass","score":0.8,"sound":true}]}`,
		`{"id":"c","cmd":"real-score","argv":["S","--quick"],"figures":{"real_score":0.85},"days":[{"name":"herd+mass","score":0.85,"sound":true}]}`,
	} {
		var e entry
		if err := json.Unmarshal([]byte(text), &e); err != nil {
			t.Fatal(err)
		}
		list = append(list, e)
	}
	if got, ok := compare(list); got != "c: 0.850 (a: 0.900), herd+mass 0.85 (-0.05)" || !ok {
		t.Errorf("%s, %v", got, ok)
	}
	fault := "lost"
	list[2].Days[0].Fault = &fault
	if got, ok := compare(list); ok {
		t.Errorf("%s, %v", got, ok)
	}
	if _, ok := compare(nil); ok {
		t.Error("an empty journal passed as sound")
	}
}
