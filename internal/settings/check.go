package settings

import (
	"net/netip"
	"net/url"

	"github.com/chestnutline/chestnutline/internal/finding"
)

// CheckAddress finds an address that is not ip:port.
func CheckAddress(l *finding.List, place, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		l.Add(place, "must be ip:port: "+err.Error())
	}
}

// CheckURL finds a base URL that can't be used.
func CheckURL(l *finding.List, place, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		l.Add(place, "must be a URL such as http://10.0.0.1:7000, not \""+text+"\"")
	}
}
