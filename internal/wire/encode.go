package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"kiteloft/decide"
)

// Encoder writes replies, each of which answers a batch. The output is buffered until End.
type Encoder struct {
	w *bufio.Writer
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, 1<<18)}
}

// Write adds one action of an instance to the reply. It fails only for an unknown type of action;
// errors of the writer are returned by End.
func (e *Encoder) Write(instance int, a decide.Action) error {
	switch a := a.(type) {
	case decide.Send:
		e.line("PLACE", instance, a.Part, a.Server, optTime(a.StopAt))
	case decide.Cancel:
		e.line("CALL_OFF", instance, a.Part, strconv.Itoa(a.Attempt))
	case decide.Answer:
		e.line("ANSWER", instance, a.Query, flag(a.Whole))
	case decide.Refuse:
		e.line("DENY", instance, a.Query, optTime(a.RetryAfter))
	case decide.Fail:
		e.line("DROP_REQUEST", instance, a.Query)
	case decide.SetTimer:
		e.line("WAKE_AT", instance, formatTime(a.After), a.Token)
	case decide.Watch:
		e.line("WATCH", instance, flag(a.On))
	case decide.ReadList:
		e.line("READ_LIST", instance)
	case decide.Probe:
		e.line("PROBE", instance, a.Server)
	case decide.CloseIdle:
		e.line("CLOSE_IDLE", instance, a.Server)
	case decide.SendToPeer:
		e.line("POST", instance, strconv.Itoa(a.Recipient), optBytes(a.Body))
	case decide.Log:
		e.line("NOTE_DOWN", instance, strings.NewReplacer("\n", " ", "\t", " ").Replace(a.Line))
	default:
		return fmt.Errorf("no wire form for action %T", a)
	}
	return nil
}

// End ends the reply and flushes it. It returns the first write error.
func (e *Encoder) End() error {
	if _, err := e.w.WriteString("EOR\n"); err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	if err := e.w.Flush(); err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

// line writes one line. It ignores write errors, because a bufio.Writer keeps the first one and
// End returns it.
func (e *Encoder) line(name string, instance int, values ...string) {
	_, _ = e.w.WriteString(name + "\t" + strconv.Itoa(instance))
	for _, v := range values {
		_, _ = e.w.WriteString("\t" + v)
	}
	_ = e.w.WriteByte('\n')
}

// formatTime returns seconds with up to six decimals.
func formatTime(t time.Duration) string {
	us := t.Microseconds()
	sign := ""
	if us < 0 {
		sign, us = "-", -us
	}
	s := fmt.Sprintf("%s%d.%06d", sign, us/1e6, us%1e6)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
}

// optTime is formatTime with "-" for zero, which means an absent value.
func optTime(t time.Duration) string {
	if t == 0 {
		return "-"
	}
	return formatTime(t)
}

// optBytes returns base64 text, or "-" for no bytes.
func optBytes(b []byte) string {
	if len(b) == 0 {
		return "-"
	}
	return base64.StdEncoding.EncodeToString(b)
}

func flag(b bool) string {
	if b {
		return "1"
	}
	return "0"
}
