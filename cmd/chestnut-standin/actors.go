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
	readHeaderTimeout = 5 * time.Second
	loopback          = "127.0.0."
	highestPort       = 65535
)

// serve adds an HTTP server to the group and returns the address it listens on.
func serve(group *run.Group, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	return listener.Addr().String(), nil
}

// closeAtEnd adds an actor that waits for the group's end and then closes.
func closeAtEnd(group *run.Group, closeAll func()) {
	done := make(chan struct{})
	group.Add(func() error {
		<-done
		closeAll()
		return nil
	}, func(error) { close(done) })
}

// checkLoopback finds an address that is not ip:port of the loopback network.
func checkLoopback(findings *finding.List, place, address string) {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || n < 0 || n > highestPort {
		findings.Add(place, "must be ip:port")
		return
	}
	checkLoopbackIP(findings, place, host)
}

func checkLoopbackIP(findings *finding.List, place, ip string) {
	if parsed := net.ParseIP(ip); parsed == nil || !parsed.IsLoopback() {
		findings.Add(place, "must be a loopback address such as "+loopback+"1")
	}
}

// checkPorts finds a range of ports that does not exist.
func checkPorts(findings *finding.List, count, base int) {
	if count < 1 {
		findings.Add("--count", "must be 1 or more")
	}
	if base < 1 || base+count-1 > highestPort {
		findings.Add("--base-port", "the ports must be from 1 to 65535")
	}
}

// nth returns the name and the address of one of several stand-ins.
func nth(prefix, dataCentre, ip string, basePort, i int) (name, address string) {
	parts := []string{prefix}
	if dataCentre != "" {
		parts = append(parts, dataCentre)
	}
	parts = append(parts, strconv.Itoa(i+1))
	return strings.Join(parts, "-"), net.JoinHostPort(ip, strconv.Itoa(basePort+i))
}

// placed returns the findings of a stand-in's configuration with flags in
// place of the names of its fields. Address is checked by its parts.
func placed(findings finding.List, flags map[string]string) finding.List {
	var out finding.List
	for _, f := range findings {
		if flag, ok := flags[f.Place]; ok {
			f.Place = flag
		}
		out.Add(f.Place, f.Problem)
	}
	return out
}
