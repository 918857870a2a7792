package accord

import (
	"fmt"

	"github.com/rs/zerolog"
)

// raftLog implements raft.Logger. Errors keep their level; warnings and ordinary lines are
// logged at debug and trace level. Fatal and Panic panic, as the library requires;
// replica.guard recovers.
type raftLog struct{ zerolog.Logger }

func (l raftLog) say(e *zerolog.Event, text string) { e.Str("from", "raft").Msg(text) }

func (l raftLog) Debug(v ...any)                 { l.say(l.Logger.Trace(), fmt.Sprint(v...)) }
func (l raftLog) Debugf(format string, v ...any) { l.say(l.Logger.Trace(), fmt.Sprintf(format, v...)) }
func (l raftLog) Info(v ...any)                  { l.say(l.Logger.Trace(), fmt.Sprint(v...)) }
func (l raftLog) Infof(format string, v ...any)  { l.say(l.Logger.Trace(), fmt.Sprintf(format, v...)) }
func (l raftLog) Warning(v ...any)               { l.say(l.Logger.Debug(), fmt.Sprint(v...)) }
func (l raftLog) Warningf(format string, v ...any) {
	l.say(l.Logger.Debug(), fmt.Sprintf(format, v...))
}
func (l raftLog) Error(v ...any)                 { l.say(l.Logger.Error(), fmt.Sprint(v...)) }
func (l raftLog) Errorf(format string, v ...any) { l.say(l.Logger.Error(), fmt.Sprintf(format, v...)) }
func (l raftLog) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (l raftLog) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
