package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/chestnutline/chestnutline/platform/standin"
)

func TestSentRequestsNameTheSharedPartsOfTheirPrompts(t *testing.T) {
	h, _, _, _ := setUp(t)
	NewWithT(t).Expect(h.sendPrompt("r-1", "5c:40,9a:200,e4:20").status).To(Equal(http.StatusOK))
	NewWithT(t).Expect(h.logs.linesOf("r-1")).To(ContainElement(HaveKeyWithValue("parts", "5c,9a")))
}

// sendPrompt sends a request for a stream with the given parts of its prompt.
func (h *testHost) sendPrompt(id, parts string) reply {
	return h.send("POST", "/s/", "", standin.HeaderRequestID, id, standin.HeaderKey, standin.KeyHeaderValue("k1"),
		standin.HeaderUsage, "100,20", standin.HeaderPromptParts, parts)
}
