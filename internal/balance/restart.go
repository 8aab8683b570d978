package balance

// Restarts. Which load this answers: a data centre whose servers are lost at one moment.
// All hosts send the broken streams again in the same few milliseconds, before they know of
// each other's choices, and before connections that fail have shown that the data centre is
// out of reach. They are spread where a service declares what its cold servers bear: there
// the servers that are left get all the work until those that were lost are warm again.

const (
	// restartSpread is the largest random cost that is added to an upstream for a request
	// whose server was lost. The others that were lost with it look for servers at the same
	// moment; without it they all choose the few that seem best.
	restartSpread = 0.15
	// lostDataCentreCost is the cost of an upstream in the data centre in which the request
	// has just lost its server.
	lostDataCentreCost = 0.3
)

// restartCost returns the cost of an upstream for a request whose server was lost, as a share
// of the request's weight.
func (c *Core) restartCost(r *request, u *upstream) float64 {
	if r.lostIn == "" || c.coldService(u) == nil {
		return 0
	}
	cost := restartSpread * c.random.Float64()
	if u.DataCentre == r.lostIn {
		cost += lostDataCentreCost
	}
	return cost
}
