package settings

import (
	"net/netip"
	"net/url"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// CheckAddress adds a finding if the address is not ip:port.
func CheckAddress(findings *finding.List, place, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		findings.Add(place, "must be ip:port: "+err.Error())
	}
}

// CheckURL adds a finding if the text is not a base URL with the scheme http or
// https and a host.
func CheckURL(findings *finding.List, place, rawURL string) {
	u, err := url.Parse(rawURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		findings.Add(place, "must be a URL such as http://10.0.0.1:7000, not \""+rawURL+"\"")
	}
}
