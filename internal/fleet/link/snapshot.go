package link

import (
	"errors"
	"fmt"
	"os"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"kiteloft/internal/fleet/member"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// snapshot is the file from which a restarted mixer knows its generation and the members to
// contact.
type snapshot struct {
	Name       string        `json:"name"`
	Generation uint32        `json:"generation"` // of this mixer's last start
	Members    []knownMember `json:"members"`
	Sum        string        `json:"sum"` // checksum of all other fields
}

// knownMember is a member that was alive when the snapshot was written.
type knownMember struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// checksum returns the checksum of all other fields.
func (s snapshot) checksum() string {
	text := fmt.Sprintf("%q %d", s.Name, s.Generation)
	for _, k := range s.Members {
		text += fmt.Sprintf(" %q %q %q", k.ID, k.Zone, k.Addr)
	}
	return fmt.Sprintf("%016x", xxh3.HashString(text))
}

// loadSnapshot reads a snapshot file. A file that is corrupt or belongs to another mixer is
// renamed with the suffix .bad, and the mixer starts without a snapshot.
func loadSnapshot(path, name string, log zerolog.Logger) (s snapshot) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return s
	}
	if err == nil {
		if err = json.Unmarshal(text, &s); err == nil && (s.Name != name || s.Sum != s.checksum()) {
			err = errors.New("checksum mismatch, or the snapshot of another mixer")
		}
		if err == nil {
			return s
		}
		if e := os.Rename(path, path+".bad"); e != nil {
			err = errors.Join(err, e)
		}
	}
	log.Warn().Err(err).Str("file", path).Msg("the fleet's snapshot can't be used and is set aside")
	return snapshot{}
}

// text returns the snapshot as JSON with its checksum.
func (s snapshot) text() ([]byte, error) {
	s.Sum = s.checksum()
	return json.Marshal(s)
}

// snapshotOf returns the snapshot of a membership state.
func snapshotOf(name string, m *member.Machine) snapshot {
	s := snapshot{Name: name, Generation: m.Self().Incarnation.Generation}
	for _, e := range m.View() {
		if !e.Self && e.Record.State == member.Alive {
			s.Members = append(s.Members, knownMember{e.ID, e.Zone, e.Addr})
		}
	}
	return s
}
