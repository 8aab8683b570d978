package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// paths plays requests whose paths hold characters that URLs of browsers and of common client
// libraries may hold unescaped. Each is sent as it stands, byte by byte.
func paths(r *rig, trouble bool) []string {
	b := bounds{drainMs: 2000, configApplyMs: 2000, stableWindowMs: 3000, maxSkewMs: 5000}
	r.store.put("config", "main", configuration(7, "unsafe"))
	var servers []*server
	zones := []string{"x-a", "x-b", "x-c"}
	for i := range 3 {
		servers = append(servers, r.addServer(fmt.Sprintf("i-%04x", 0x51a7+i*977), "order-desk", zones[i], r.ip(2, i+1), 10*time.Millisecond))
	}
	for _, zone := range zones {
		r.addHost(zone, b)
	}
	r.awaitReady()
	targets := []string{
		"/puxa403/order/2026%2F12|es",
		"/puxa403/story%2Fa|b?lang=es|en",
		"/puxa403/yard-7%3Foats|hay",
		"/puxa403/plain/2f",
	}
	sent := map[string]string{}
	for n := range 24 {
		h, target := r.hosts[n%len(r.hosts)], targets[n%len(targets)]
		if !trouble {
			path, query, found := strings.Cut(target, "?")
			target = strings.ReplaceAll(path, "|", "%7C")
			if found {
				target += "?" + query
			}
		}
		id := fmt.Sprintf("%08x%08x", n+1, r.start.UnixNano()&0xffffffff)
		sent[id] = target
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, callerPort), time.Second)
		check(err)
		r.note("request %s (POST %s) sent to %s", id, target, h.name)
		_, err = io.WriteString(conn, "POST "+target+" HTTP/1.1\r\nHost: "+domain+"\r\nRequest-Id: "+id+
			"\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\nConnection: close\r\n\r\norder")
		check(err)
		check(conn.SetReadDeadline(time.Now().Add(3 * time.Second)))
		answer, err := io.ReadAll(conn)
		line, _, _ := strings.Cut(string(answer), "\r\n")
		r.note("request %s is answered %q %v", id, line, err)
		conn.Close()
	}
	var broken []string
	ran := 0
	for _, s := range servers {
		for _, a := range s.arrivals() {
			if a.ran {
				ran++
			}
			if a.ran && a.target != sent[a.id] {
				broken = append(broken, fmt.Sprintf("UNASKED: server %s ran request %s with %q; its consumer sent %q", s.id, a.id, a.target, sent[a.id]))
			}
		}
	}
	r.note("%d requests, %d ran", len(sent), ran)
	fmt.Printf("%d requests, %d ran\n", len(sent), ran)
	return broken
}
