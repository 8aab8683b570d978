package peer

import "time"

// livenessMonitor decides when to ping on a connection, and whether the
// connection is silent or idle. Only one goroutine may use it.
type livenessMonitor struct {
	cfg Config
	// pongTimeout fires when a ping has not been answered within
	// SilenceTimeout. It is nil while no ping awaits an answer.
	pongTimeout <-chan time.Time
	timer       *time.Timer
	// sentSincePing reports whether a message was sent since the last ping;
	// awaitingPong whether a ping is not yet answered.
	sentSincePing bool
	awaitingPong  bool
	// lastSent is the time of the last message, or of the start of the
	// connection.
	lastSent time.Time
}

// newLivenessMonitor returns a monitor for a connection that was just opened.
func newLivenessMonitor(cfg Config) *livenessMonitor {
	return &livenessMonitor{cfg: cfg, lastSent: time.Now()}
}

// recordSend records that a message is being sent.
func (m *livenessMonitor) recordSend() {
	m.sentSincePing = true
	m.lastSent = time.Now()
}

// startPing reports whether to send a ping now, and if so starts the timer for
// the answer. A ping is due when a message was sent since the last ping and no
// ping awaits an answer.
func (m *livenessMonitor) startPing() bool {
	if !m.sentSincePing || m.awaitingPong {
		return false
	}
	m.sentSincePing = false
	m.awaitingPong = true
	m.timer = time.NewTimer(m.cfg.SilenceTimeout)
	m.pongTimeout = m.timer.C
	return true
}

// recordPong records the answer to a ping.
func (m *livenessMonitor) recordPong() {
	m.awaitingPong = false
	m.stopTimer()
}

// stopTimer stops the timer of the ping that awaits an answer, if there is one.
func (m *livenessMonitor) stopTimer() {
	if m.timer != nil {
		m.timer.Stop()
	}
	m.pongTimeout = nil
}

// isIdle reports whether no message was sent for longer than IdleTimeout.
func (m *livenessMonitor) isIdle() bool {
	return time.Since(m.lastSent) > m.cfg.IdleTimeout
}
