package main

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/chestnutline/chestnutline/internal/finding"
)

const (
	// readHeaderTimeout limits the time in which a client has to send the headers
	// of a request.
	readHeaderTimeout = 5 * time.Second
	// loopback is the beginning of a loopback address, for messages.
	loopback = "127.0.0."
	maxPort  = 65535
)

// addServer starts listening on the address, adds an HTTP server to the group and
// returns the address that it listens on, with the port that was chosen for port 0.
func addServer(group *run.Group, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	return listener.Addr().String(), nil
}

// addCloser adds an actor to the group that waits until the group ends and then
// calls closeAll.
func addCloser(group *run.Group, closeAll func()) {
	done := make(chan struct{})
	group.Add(func() error {
		<-done
		closeAll()
		return nil
	}, func(error) { close(done) })
}

// checkLoopback adds a finding if the address is not ip:port with an address of
// the loopback network.
func checkLoopback(findings *finding.List, place, address string) {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || n < 0 || n > maxPort {
		findings.Add(place, "must be ip:port")
		return
	}
	checkLoopbackIP(findings, place, host)
}

// checkLoopbackIP adds a finding if ip is not an address of the loopback network.
func checkLoopbackIP(findings *finding.List, place, ip string) {
	if parsed := net.ParseIP(ip); parsed == nil || !parsed.IsLoopback() {
		findings.Add(place, "must be a loopback address such as "+loopback+"1")
	}
}

// checkPorts adds findings if the count of stand-ins is below 1, or if their
// consecutive ports are not all valid.
func checkPorts(findings *finding.List, count, base int) {
	if count < 1 {
		findings.Add("--count", "must be 1 or more")
	}
	if base < 1 || base+count-1 > maxPort {
		findings.Add("--base-port", "the ports must be from 1 to 65535")
	}
}

// nameAndAddress returns the name and the address of the stand-in with the index
// i. Names count from 1, and the ports follow basePort.
func nameAndAddress(prefix, dataCentre, ip string, basePort, i int) (name, address string) {
	parts := []string{prefix}
	if dataCentre != "" {
		parts = append(parts, dataCentre)
	}
	parts = append(parts, strconv.Itoa(i+1))
	return strings.Join(parts, "-"), net.JoinHostPort(ip, strconv.Itoa(basePort+i))
}

// withFlagPlaces returns the findings of a stand-in's configuration with the
// names of fields replaced by the flags that set them. The field Address needs no
// flag, since its parts are checked separately.
func withFlagPlaces(findings finding.List, flags map[string]string) finding.List {
	var out finding.List
	for _, f := range findings {
		if flag, ok := flags[f.Place]; ok {
			f.Place = flag
		}
		out.Add(f.Place, f.Problem)
	}
	return out
}
