package route

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

func TestFindReturnsRouteWithLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(Declaration{Version: 3, Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/"},
	}})
	g.Expect(table.Find("h", "/a/b/c").Name).To(Equal("long"))
	g.Expect(table.Find("h", "/a/bc").Name).To(Equal("short"))
	g.Expect(table.Find("h", "/a")).To(BeNil())
	g.Expect(table.Find("h", "/b/")).To(BeNil())
	g.Expect(table.Find("g", "/a/").Name).To(Equal("other"))
	g.Expect(table.RequiresKey()).To(BeFalse())
}

func TestOrganisationOfKeyReturnsKeyHolder(t *testing.T) {
	g := NewWithT(t)
	table := NewTable(Declaration{Organisations: []Organisation{{Name: "o1", Keys: []string{"k1", "k2"}}, {Name: "o2"}}})
	g.Expect(table.RequiresKey()).To(BeTrue())
	g.Expect(table.OrganisationOfKey("k2").Name).To(Equal("o1"))
	g.Expect(table.OrganisationOfKey("")).To(BeNil())
}

// TestServiceSharesFollowWeights chooses services for many requests and
// compares how often each was chosen with its weight. It also guards against a
// choice that differs between two calls with the same request id.
func TestServiceSharesFollowWeights(t *testing.T) {
	g := NewWithT(t)
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	count := make(map[string]int)
	const requests = 10000
	for i := range requests {
		id := fmt.Sprint("request", i)
		count[r.ChooseService(id)]++
		g.Expect(r.ChooseService(id)).To(Equal(r.ChooseService(id)))
	}
	g.Expect(float64(count["b"]) / requests).To(BeNumerically("~", 0.1, 0.02))
	g.Expect(count["c"]).To(BeZero())
	g.Expect((&Route{}).ChooseService("x")).To(BeEmpty())
}

func TestOnlySafeAndResumableRequestsAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Route{Kind: Safe}).Repeatable()).To(BeTrue())
	g.Expect((&Route{Kind: Stream, Resumable: true}).Repeatable()).To(BeTrue())
	g.Expect((&Route{Kind: Stream}).Repeatable()).To(BeFalse())
	g.Expect((&Route{Kind: Unsafe, Resumable: true}).Repeatable()).To(BeFalse())
}
