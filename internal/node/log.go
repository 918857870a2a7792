package node

// LogProtocolError logs a protocol error, found by the node or in what it sent.
func (l *Link) LogProtocolError(words string) {
	l.pool.log.Warn().Str("node", l.peer.id).Str("words", words[:min(len(words), maxLoggedBytes)]).Msg("protocol error on a node connection")
}

// CallError describes how a node ended the call of a part without an answer.
type CallError struct {
	Reason         string // status or error code
	Message        string // the node's own words; may be empty
	AnswerMessages int    // messages of an answer that came before
	NeverRan       bool   // it is taken as proof that the part did not run
}

// LogCallError logs how a node ended the call of a part. The lines are sampled.
func (l *Link) LogCallError(t *Ticket, e CallError) {
	l.pool.callErrorLog.Info().Str("node", l.peer.id).Str("part", t.ID).Str("reason", e.Reason).
		Str("words", e.Message[:min(len(e.Message), maxLoggedBytes)]).Int("answer_messages", e.AnswerMessages).
		Bool("never_ran", e.NeverRan).Msg("node ended a call without an answer")
}
