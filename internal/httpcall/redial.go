package httpcall

import (
	"context"
	"net"
	"time"
)

// redialer opens a second connection to the same address when the first one takes long,
// and uses the one that is open first. The system repeats a lost SYN only after a second.
type redialer struct {
	dialer Dialer
	after  time.Duration
}

// dialResult is the end of one attempt to connect.
type dialResult struct {
	conn net.Conn
	err  error
}

// DialContext implements Dialer. A refused connection is not tried again.
func (d redialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, 2)
	dial := func() {
		conn, err := d.dialer.DialContext(ctx, network, address)
		results <- dialResult{conn, err}
	}
	go dial()
	timer := time.NewTimer(d.after)
	defer timer.Stop()
	for pending := 1; ; {
		select {
		case <-timer.C:
			pending++
			go dial()
		case r := <-results:
			pending--
			if r.err != nil && pending > 0 {
				continue
			}
			if pending > 0 {
				go closeUnused(results)
			}
			return r.conn, r.err
		}
	}
}

// closeUnused closes the connection that comes second, if it is opened at all.
func closeUnused(results <-chan dialResult) {
	if r := <-results; r.conn != nil {
		r.conn.Close()
	}
}
