package gateway

import (
	"net"
	"net/http"
	"strconv"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/platform"
)

// Headers between two hosts, of which one passes a request on to the other. They are
// read on the address for such requests only.
const (
	// headerPriorRuns is the number of attempts that may have executed the request
	// before it was passed on.
	headerPriorRuns = "Chestnut-Prior-Runs"
	// headerRefused is the reason for which the host did not execute the request, and
	// headerFailed that for which it gave up on a request that it may have had executed.
	headerRefused = "Chestnut-Refused"
	headerFailed  = "Chestnut-Failed"
)

// forwardAddress returns the address at which this host takes requests that other
// hosts pass on: the last of the peer ports, or none if there is only one.
func (p *Process) forwardAddress() string {
	platformSettings := p.settings.platformSettings
	if platformSettings.PeerPorts[1] == platformSettings.PeerPorts[0] {
		return ""
	}
	return (&net.TCPAddr{IP: net.ParseIP(platformSettings.IP), Port: platformSettings.PeerPorts[1]}).String()
}

// serveForwarded answers a request that another host has passed on.
func (g *ingress) serveForwarded(w http.ResponseWriter, r *http.Request) {
	priorRuns, err := strconv.Atoi(r.Header.Get(headerPriorRuns))
	if err != nil || priorRuns < 0 {
		callerConnOf(r).limitUnread()
		g.refuse(w, &inboundRequest{forwarded: true, arrivedAt: g.clock.Now()}, refusal{
			status: http.StatusBadRequest, code: "bad_request", detail: headerPriorRuns + " must be a number of 0 or more",
		})
		return
	}
	r.Header.Del(headerPriorRuns)
	g.metrics.Count("gateway_forwarded_total", 1, "direction", "in")
	g.serve(w, r, func(inbound *inboundRequest) { inbound.forwarded, inbound.priorRuns = true, priorRuns })
}

// removeHostHeaders removes the headers by which hosts tell each other how a request
// ended from the response of a server, which must not pass for that of a host.
func removeHostHeaders(header http.Header) {
	header.Del(headerRefused)
	header.Del(headerFailed)
}

// buildForward returns the request to another host that is to answer it.
func (a *attempt) buildForward() httpcall.Call {
	header := platform.ForwardHeader(a.r.Header, a.send.ReplyBy-a.startedAt, a.lastEventID)
	header.Set(headerPriorRuns, strconv.Itoa(a.send.PriorRuns))
	return a.withBody(httpcall.Call{
		Method: a.r.Method, Address: a.send.Members[0].Address, Host: a.r.Host, Path: a.r.RequestURI,
		Header: header, NewConnection: true,
	})
}

// handleForwardResponse forwards the answer of another host, which is that of a server
// unless the host has refused the request or given up on it.
func (a *attempt) handleForwardResponse(response *http.Response) outcome {
	head := platform.DecodeUpstreamResponse(response, a.inbound.request.ID)
	refused, failed := response.Header.Get(headerRefused), response.Header.Get(headerFailed)
	switch {
	case !head.MatchesRequest:
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errOtherRequest}
	case refused != "":
		return outcome{
			class: balance.FailureHostRefused, status: head.Status,
			refusedCode: balance.ErrorCode(refused), retryAfter: platform.RetryAfter(response.Header),
		}
	case failed != "":
		return outcome{class: balance.FailureAnswerLost, status: head.Status, finalCode: balance.ErrorCode(failed)}
	case a.isUnprovenRefusal(head):
		return outcome{class: balance.FailureAnswerLost, status: head.Status, err: errUnprovenRefusal}
	default:
		return a.forwardAnswer(response, head)
	}
}

// forwarders returns the hosts to which requests can be passed on. The caller holds mu.
func (p *peers) forwarders() []balance.Forwarder {
	// minWeight stands for hosts that do not tell their strength.
	const minWeight = 0.01
	var list []balance.Forwarder
	for _, m := range p.members {
		if m.forwardAddress != "" {
			list = append(list, balance.Forwarder{
				Host: m.name, DataCentre: m.dataCentre, Region: p.regions[m.dataCentre], Address: m.forwardAddress, Weight: max(minWeight, m.processorShare),
			})
		}
	}
	return list
}
