package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/balance"
)

// TestInvalidAnswerConfirmsNoOrder guards against memory that counts as reserved on bytes that
// are no answer to the order.
func TestInvalidAnswerConfirmsNoOrder(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 10\r\n\r\n{\"free\":1}"
	h, _, _, _ := setUp(t)
	for name, answer := range map[string]struct{ first, again string }{
		"status 000":     {first: strings.Replace(sound, "200", "000", 1)},
		"status 101":     {first: strings.Replace(sound, "200", "101", 1)},
		"version":        {first: strings.Replace(sound, "1.1", "2.0", 1)},
		"space in name":  {first: strings.Replace(sound, "Content-Type", "Content Type", 1)},
		"interim":        {first: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sound},
		"head cut off":   {first: sound[:40]},
		"body cut off":   {first: sound[:len(sound)-2]},
		"endless head":   {first: "HTTP/1.1 200 OK\r\n", again: "X: 1\r\n"},
		"endless body":   {first: "HTTP/1.1 200 OK\r\n\r\n", again: "      "},
		"endless hints":  {again: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"sound":          {first: sound},
		"sound, no size": {first: "HTTP/1.1 200 OK\r\n\r\n{\"free\":1}"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := listenRaw(t, func(conn *net.TCPConn, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				_, err := io.WriteString(conn, answer.first)
				for err == nil && answer.again != "" {
					_, err = io.WriteString(conn, strings.Repeat(answer.again, 1000))
				}
			})
			start := time.Now()
			err := h.process.control.orders.send(balance.Member{Upstream: "i-1", Address: address}, []byte("{}"), func(*http.Response) {})
			g.Expect(err == nil).To(Equal(strings.HasPrefix(name, "sound")), "%v", err)
			g.Expect(time.Since(start)).To(BeNumerically("<", orderTimeout), "not read until the time limit")
		})
	}
}
