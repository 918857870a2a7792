//go:build review

package main

import (
	"fmt"
	"time"

	"kiteloft/internal/standin"
)

func init() { cases["cutoff"] = cutOff }

const cutTime = 6 * time.Second // for which a zone is partitioned

// cutOff partitions a zone, which has one mixer, from the others while they agree on a version that keeps a
// node out of use. An earlier version, which the cut-off mixer has acted on, kept the same node out of use.
func cutOff(w *world) error {
	c, stop, err := newCouncil(w)
	if err != nil {
		return err
	}
	defer close(stop)
	for _, node := range []int{2, 8} {
		if err := c.agree(onlyWithout(node), mixerCount); err != nil {
			return err
		}
		c.note("all mixers act on the version that keeps node s-%02d out of use", node)
		time.Sleep(time.Second)
	}
	if err := c.cut(2); err != nil {
		return err
	}
	w.note("%d versions proposed, %d queries served, %d refused, failed or without an answer", c.proposed, c.served.Load(), c.unserved.Load())
	return nil
}

// onlyWithout is the document that keeps one node out of use, in the form that docs/settings.md gives.
func onlyWithout(node int) string { return fmt.Sprintf(`{"nodes":{"s-%02d":false}}`, node) }

// cut partitions the zone while the others agree that nothing is to be sent to the node, and counts what it
// gets all the same.
func (c *council) cut(node int) error {
	acting := mixerCount
	if c.trouble {
		c.Spoil([]int{mixerCount - 1}, nil, standin.Fault{Drop: 1})
		c.Spoil(nil, []int{mixerCount - 1}, standin.Fault{Drop: 1})
		acting--
	}
	begun := time.Now()
	c.note("the zone of mixer n%d is cut off: %v", mixerCount-1, c.trouble)
	time.Sleep(goneTime)
	if err := c.agree(onlyWithout(node), acting); err != nil {
		return err
	}
	inForce := time.Now()
	c.note("%d mixers act on the version that keeps node s-%02d out of use, %.2f s after the cut", acting, node, inForce.Sub(begun).Seconds())
	time.Sleep(time.Until(begun.Add(cutTime)))
	c.Spoil(nil, nil, standin.Fault{})
	c.note("the zone is back after %.2f s", time.Since(begun).Seconds())
	if err := c.agree(onlyWithout(node), mixerCount); err != nil {
		return err
	}
	c.note("all mixers act on that version")
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.sent[node] {
		if a.at.After(inForce.Add(leaseTime)) {
			c.fault("node s-%02d got part %s %.3f s after all others acted on the version that keeps it out of use", node, a.part, a.at.Sub(inForce).Seconds())
		}
	}
	for i := range c.sent {
		c.note("node s-%02d got %d parts since the first version", i, len(c.sent[i]))
		c.sent[i] = nil
	}
	return nil
}
