package gateway

import (
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/platform/standin"
)

// operationsPage returns the operators' page, docs/OPERATIONS.md.
func operationsPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestOperationsPageListsTheSettings(t *testing.T) {
	page := operationsPage(t)
	for _, f := range settings.Fields(&Settings{}) {
		row := "| --" + f.Flag + " | " + f.Variable + " | " + f.Default + " | " + f.Help + " |"
		if !strings.Contains(page, row) {
			t.Errorf("docs/OPERATIONS.md lacks the row: %s", row)
		}
	}
}

// TestFailuresAreExplainedByTheirLogLines makes requests fail in the three ways
// that docs/OPERATIONS.md describes, and checks that the log lines with their
// ids name the causes.
func TestFailuresAreExplainedByTheirLogLines(t *testing.T) {
	g := NewWithT(t)
	h, _, engines, desks := setUp(t)

	setFault(desks, standin.Full)
	r := h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "refused", "Deadline-Ms", "300")...)
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	lines := h.logs.linesOf("refused")
	g.Expect(lines[0]).To(And(HaveKeyWithValue("event", float64(logevent.RoutedSent.Number)), HaveKey("failure_share"), HaveKey("configuration_age_ms")))
	g.Expect(lines[1]).To(HaveKeyWithValue("class", "full"))
	last := lines[len(lines)-1]
	g.Expect(last).To(And(HaveKeyWithValue("event", float64(logevent.RoutedRefused.Number)), HaveKeyWithValue("configuration", float64(1)), HaveKey("retry_after_ms")))

	setFault(desks, standin.Failing)
	h.send("POST", "/u/", "b", withHeaders(keyHeaders, "Request-Id", "failed")...)
	lines = h.logs.linesOf("failed")
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[1]).To(And(HaveKeyWithValue("class", "failed"), HaveKeyWithValue("status", float64(500)), HaveKey("upstream")))
	g.Expect(lines[2]).To(And(HaveKeyWithValue("event", float64(logevent.RoutedFailed.Number)), HaveKeyWithValue("own_answer", true)))

	for _, e := range engines {
		e.EventCount = 50
	}
	setFault(engines, standin.Truncating)
	h.send("POST", "/s/", "p", withHeaders(promptHeaders, "Request-Id", "cut")...)
	lines = h.logs.linesOf("cut")
	last = lines[len(lines)-1]
	g.Expect(last).To(And(HaveKeyWithValue("event", float64(logevent.RoutedFailed.Number)), HaveKeyWithValue("pieces", BeNumerically(">", 0))))
	g.Expect(lines[len(lines)-2]).To(HaveKeyWithValue("class", "lost"))

	page := operationsPage(t)
	for _, field := range []string{"request", "configuration_age_ms", "oldest_peer_ms", "failure_share", "longest_pause_ms", "own_answer", "culprit"} {
		g.Expect(page).To(ContainSubstring(field))
	}
}
