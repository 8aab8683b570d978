package httpcall

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// lossyDialer is a Dialer whose first dials get no answer.
type lossyDialer struct {
	lost  int32
	dials atomic.Int32
	conns chan net.Conn
}

// DialContext implements Dialer.
func (d *lossyDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	if d.dials.Add(1) <= d.lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	d.conns <- far
	return near, nil
}

// TestLostSynDoesNotCostTheConnectTimeout guards against calls that wait for a connection
// whose first packet was lost until it is too late for their objective.
func TestLostSynDoesNotCostTheConnectTimeout(t *testing.T) {
	g := NewWithT(t)
	lossy := &lossyDialer{lost: 1, conns: make(chan net.Conn, 2)}
	conn, err := redialer{dialer: lossy, after: 10 * time.Millisecond}.DialContext(t.Context(), "tcp", "192.0.2.1:80")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn).NotTo(BeNil())
	g.Expect(lossy.dials.Load()).To(Equal(int32(2)))
	conn.Close()
}

func TestConnectionInTimeIsTheOnlyOne(t *testing.T) {
	g := NewWithT(t)
	prompt := &lossyDialer{conns: make(chan net.Conn, 2)}
	conn, err := redialer{dialer: prompt, after: time.Hour}.DialContext(t.Context(), "tcp", "192.0.2.1:80")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(prompt.dials.Load()).To(Equal(int32(1)))
	conn.Close()
}

// failingDialer is a Dialer that is refused at once.
type failingDialer struct{ dials atomic.Int32 }

// DialContext implements Dialer.
func (d *failingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.dials.Add(1)
	return nil, errors.New("refused")
}

func TestRefusedConnectionIsNotTriedAgain(t *testing.T) {
	g := NewWithT(t)
	refusing := &failingDialer{}
	_, err := redialer{dialer: refusing, after: time.Hour}.DialContext(t.Context(), "tcp", "192.0.2.1:80")
	g.Expect(err).To(HaveOccurred())
	g.Expect(refusing.dials.Load()).To(Equal(int32(1)))
}

func TestBothConnectionsEndWithTheContext(t *testing.T) {
	g := NewWithT(t)
	dark := &lossyDialer{lost: 2, conns: make(chan net.Conn, 2)}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := redialer{dialer: dark, after: 10 * time.Millisecond}.DialContext(ctx, "tcp", "192.0.2.1:80")
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
}

// slowDialer is a Dialer whose first dial takes longer than the second.
type slowDialer struct {
	dials atomic.Int32
	late  chan net.Conn
}

// DialContext implements Dialer.
func (d *slowDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	if d.dials.Add(1) == 1 {
		time.Sleep(50 * time.Millisecond)
		d.late <- far
	}
	return near, nil
}

func TestConnectionThatComesSecondIsClosed(t *testing.T) {
	g := NewWithT(t)
	slow := &slowDialer{late: make(chan net.Conn, 1)}
	conn, err := redialer{dialer: slow, after: 10 * time.Millisecond}.DialContext(t.Context(), "tcp", "192.0.2.1:80")
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	far := <-slow.late
	_, err = far.Read(make([]byte, 1))
	g.Expect(err).To(MatchError("EOF"))
}
