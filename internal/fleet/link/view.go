package link

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"kiteloft/internal/fleet/member"
)

// MemberStatus is one member as seen by a mixer.
type MemberStatus struct {
	ID         string   `json:"id"`
	Zone       string   `json:"zone"`
	Addr       string   `json:"addr"`
	State      string   `json:"state"`
	Self       bool     `json:"self,omitempty"`
	Ready      bool     `json:"ready"`
	Generation uint32   `json:"generation"`
	Turn       uint32   `json:"turn"`
	SinceMS    int64    `json:"since_ms"` // time in this state
	HeardMS    int64    `json:"heard_ms"` // time since the last round trip with it; -1: there was none
	DoubtedBy  []string `json:"doubted_by,omitempty"`
}

// View is a mixer's view of the fleet.
type View struct {
	Fleet    string         `json:"fleet"`
	Mixer    string         `json:"mixer"`
	Live     int            `json:"live"`
	Share    float64        `json:"share"` // of the fleet-wide allowances
	Isolated bool           `json:"isolated"`
	Members  []MemberStatus `json:"members"`
}

// View returns this mixer's current view.
func (f *Fleet) View() View {
	now := f.core.Now()
	v := View{Fleet: f.c.Fleet, Mixer: f.c.ID, Live: f.machine.Alive(), Share: f.machine.Share(now), Isolated: f.machine.Isolated()}
	for _, e := range f.machine.View() {
		l := MemberStatus{ID: e.ID, Zone: e.Zone, Addr: e.Addr, State: e.State.String(), Self: e.Self, Ready: e.Ready,
			Generation: e.Incarnation.Generation, Turn: e.Incarnation.Turn, SinceMS: (now - e.Since).Milliseconds(), HeardMS: -1, DoubtedBy: e.Doubters}
		if e.Self && e.State == member.Doubted {
			l.State = "isolated"
		}
		if e.LastHeard > 0 {
			l.HeardMS = (now - e.LastHeard).Milliseconds()
		}
		v.Members = append(v.Members, l)
	}
	return v
}

// describe returns the view as JSON.
func (f *Fleet) describe() []byte {
	text, err := json.Marshal(f.View())
	if err != nil {
		f.log.Error().Err(err).Msg("the fleet's view could not be encoded") // only by a programming error
	}
	return text
}

// AskView requests a mixer's view over the network, for an operator's tool. It returns an
// error after the timeout.
func AskView(addr, fleet string, keys Keys, timeout time.Duration) (v View, err error) {
	text, err := Ask(addr, fleet, keys, nil, timeout)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(text, &v)
}

// Ask sends a request to a mixer over the network, for an operator's tool, and returns the
// response. An empty question requests the view.
func Ask(addr, fleet string, keys Keys, question []byte, timeout time.Duration) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the response was read to its end
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if _, err := conn.Write(frame(keys.seal(packet{Message: member.Message{Kind: kindViewRequest}, fleet: fleet, answer: question}.encode()))); err != nil {
		return nil, err
	}
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return nil, fmt.Errorf("no answer (another key, or another fleet?): %w", err)
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return nil, errMalformed
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(conn, b); err != nil {
		return nil, err
	}
	body, err := keys.open(b)
	if err != nil {
		return nil, err
	}
	p, err := decode(body)
	return p.answer, err
}
