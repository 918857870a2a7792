package ipfix

import (
	"encoding/hex"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start = time.UnixMilli(0x0102030405)
	flow4 = Flow{Source: netip.MustParseAddrPort("10.0.0.1:258"), Destination: netip.MustParseAddrPort("10.0.0.2:8000"),
		Start: start, End: start.Add(time.Millisecond), Sent: 7, Received: 9, Reason: EndOfFlow}
	flow6 = Flow{Source: netip.MustParseAddrPort("[::1]:1"), Destination: netip.MustParseAddrPort("[::2]:2"), Start: start, End: start}
)

func decodeHex(s string) string {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		panic(err)
	}
	return string(b)
}

// TestMessagesMatchRFC7011Encoding compares messages with ones encoded by hand according to RFC 7011.
func TestMessagesMatchRFC7011Encoding(t *testing.T) {
	s := Stream{Domain: 5}
	now := time.Unix(0x11223344, 0)
	templates := "000a 006c 11223344 00000000 00000005 0002 005c" +
		"0100 000a 0098 0008 0099 0008 0008 0004 000c 0004 0007 0002 000b 0002 0004 0001 00e7 0008 00e8 0008 0088 0001" +
		"0101 000a 0098 0008 0099 0008 001b 0010 001c 0010 0007 0002 000b 0002 0004 0001 00e7 0008 00e8 0008 0088 0001"
	if diff := cmp.Diff(decodeHex(templates), string(s.Templates(now))); diff != "" {
		t.Error(diff)
	}
	record := "0000000102030405 0000000102030406 0a000001 0a000002 0102 1f40 06 0000000000000007 0000000000000009 03"
	want := []string{decodeHex("000a 0070 11223344 00000000 00000005 0100 0060" + record + record)}
	var got []string
	for _, m := range s.Records(now, []Flow{flow4, flow4}) {
		got = append(got, string(m))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if s.sequence != 2 {
		t.Errorf("sequence %d after two records", s.sequence)
	}
	mixed := s.Records(now, []Flow{flow4, flow6, flow4})
	if len(mixed) != 1 || string(mixed[0][8:12]) != "\x00\x00\x00\x02" || s.sequence != 5 {
		t.Errorf("%d messages, sequence then %d", len(mixed), s.sequence)
	}
}

func TestManyRecordsTakeSeveralMessages(t *testing.T) {
	s := Stream{}
	flows := make([]Flow, 2000)
	for i := range flows {
		flows[i] = flow6
		if i%3 == 0 {
			flows[i] = flow4
		}
	}
	total := 0
	for _, m := range s.Records(start, flows) {
		if len(m) > maxMessage+100 || int(m[2])<<8|int(m[3]) != len(m) {
			t.Fatalf("a message of %d bytes", len(m))
		}
		total += len(m) - headerSize
	}
	if s.sequence != 2000 || total < 2000*46 {
		t.Errorf("sequence %d, %d bytes of records", s.sequence, total)
	}
}
