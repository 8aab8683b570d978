package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutline/chestnutline/internal/route"
)

// engine are the figures of the servers that the tests play.
func testEngine() *route.Engine {
	return &route.Engine{
		Slots: 16, MemoryTokens: 232000, StepsPerPass: 43, PrefillChunkTokens: 2048,
		StepTime: 1020 * time.Microsecond, StepTimePerSequence: 2260 * time.Nanosecond,
		StepTimePerContextToken: 4 * time.Nanosecond, PrefillTimePerToken: 4854 * time.Nanosecond,
		PrefillTimePerMillionPairs: 138 * time.Microsecond,
	}
}

func testConfig(host string, policy Policy) Config {
	return Config{
		Host: host, DataCentre: "a", RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 100,
		Hold: 3 * time.Second, Policy: policy,
	}
}

func stream(name string, target, gap time.Duration) *route.Route {
	return &route.Route{
		Name: name, Kind: route.Stream, TargetLatency: target, TargetPieceGap: gap, Timeout: 15 * time.Second,
		MaxRuns: 2, Resumable: true, Shares: []route.Share{{Service: "llm", Weight: 1}},
	}
}

var (
	shortRoute  = stream("short", 300*time.Millisecond, 250*time.Millisecond)
	bookRoute   = stream("book", 2500*time.Millisecond, time.Second)
	threadRoute = stream("thread", 1500*time.Millisecond, 600*time.Millisecond)
	orderRoute  = &route.Route{Name: "order", Kind: route.Unsafe, TargetLatency: 120 * time.Millisecond, MaxRuns: 1}
	readRoute   = &route.Route{Name: "read", Kind: route.Safe, TargetLatency: 120 * time.Millisecond, MaxRuns: 2}
)

// work that a played server has.
type job struct {
	host    int
	number  uint64
	attempt int
	route   *route.Route
	prompt  int
	// left is the reading left here; parts are the readers that are not done,
	// home is the server that answers.
	left   time.Duration
	parts  *int
	home   *playedServer
	leads  bool
	events int
	answer int
	// again says that the caller was refused before.
	again bool
	// sent, last and worst follow the stream: arrival, last event, longest pause.
	sent, first, last, worst time.Duration
}

// playedServer works in passes as the engines do.
type playedServer struct {
	id      string
	queue   []*job
	running []*job
	// ends is when the pass under way ends; writers are those that write in it.
	ends    time.Duration
	writers []*job
}

// happening is something at a time, in order.
type happening struct {
	at   time.Duration
	seq  int
	does func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world plays hosts with their cores before servers.
type world struct {
	engine  *route.Engine
	now     time.Duration
	agenda  agenda
	seq     int
	cores   []*Core
	servers map[string]*playedServer
	jobs    map[string]*job
	// peerDelay is the time of a message between hosts.
	peerDelay time.Duration
	next      uint64
	results   []result
	held      map[string]int
}

// result is how one request ended, as its caller saw it.
type result struct {
	route     string
	prompt    int
	delivered bool
	refused   bool
	inTime    bool
}

func newWorld(policy Policy, hosts, servers int, seed uint64) *world {
	w := &world{
		engine: testEngine(), servers: make(map[string]*playedServer), jobs: make(map[string]*job),
		peerDelay: 4 * time.Millisecond, held: make(map[string]int),
	}
	var list []Upstream
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		w.servers[id] = &playedServer{id: id}
		list = append(list, Upstream{ID: id, Service: "llm", Address: id, DataCentre: "a", Slots: 16})
	}
	for i := range hosts {
		core, err := New(testConfig(fmt.Sprintf("h%d", i), policy), seed+uint64(i), 1)
		if err != nil {
			panic(err)
		}
		w.cores = append(w.cores, core)
		w.step(i, ServicesChanged{Services: []*route.Service{{Name: "llm", Engine: w.engine}}})
		w.step(i, UpstreamsChanged{Upstreams: list})
		w.step(i, PeersChanged{OtherHosts: hosts - 1, ReportDelay: w.peerDelay})
	}
	for i := range hosts {
		w.tick(i)
	}
	return w
}

func (w *world) at(d time.Duration, does func()) {
	w.seq++
	heap.Push(&w.agenda, happening{at: w.now + d, seq: w.seq, does: does})
}

func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.does()
	}
	w.now = until
}

func (w *world) tick(host int) {
	w.step(host, Tick{})
	w.at(20*time.Millisecond, func() { w.tick(host) })
}

func (w *world) step(host int, e Event) {
	for _, effect := range w.cores[host].Step(w.now, e) {
		w.carryOut(host, effect)
	}
}

func (w *world) carryOut(host int, effect Effect) {
	switch e := effect.(type) {
	case Send:
		w.send(host, e)
	case Refuse:
		j := w.jobs[key(host, e.RequestNumber)]
		if e.RetryAfter > 0 && !j.again {
			w.at(e.RetryAfter, func() { w.comeBack(j) })
			return
		}
		w.results = append(w.results, result{route: j.route.Name, prompt: j.prompt, refused: true})
	case ReserveMemory:
		w.at(5*time.Millisecond, func() {
			if !e.Renewal {
				w.held[e.Member.Ticket+e.Member.Upstream] = e.Member.ReservedTokens
			}
			w.step(host, ReservationResult{RequestNumber: e.RequestNumber, Attempt: e.Attempt, Upstream: e.Member.Upstream, OK: true})
		})
	case ReleaseMemory:
		w.at(5*time.Millisecond, func() { delete(w.held, e.Member.Ticket+e.Member.Upstream) })
	case BroadcastReport:
		for other := range w.cores {
			if other != host {
				w.at(w.peerDelay, func() { w.step(other, ReportReceived{Host: fmt.Sprint("h", host), Report: e.Report}) })
			}
		}
	}
}

func key(host int, number uint64) string { return fmt.Sprint(host, "/", number) }

// arrive has a caller send a request to a host.
func (w *world) arrive(host int, r *route.Route, prompt, answer int) {
	w.next++
	number := w.next
	w.jobs[key(host, number)] = &job{host: host, number: number, route: r, prompt: prompt, answer: answer, sent: w.now, events: answer/w.engine.StepsPerPass + 1}
	w.step(host, Arrived{
		RequestNumber: number, ID: fmt.Sprint(number), Route: r, Service: "llm",
		PromptTokens: prompt, AnswerTokens: answer, Deadline: w.now + r.Timeout,
	})
	w.at(r.Timeout, func() { w.timeOut(host, number) })
}

// comeBack has a refused caller try again, once, at the next host.
func (w *world) comeBack(j *job) {
	w.next++
	host := (j.host + 1) % len(w.cores)
	again := *j
	again.host, again.number, again.again = host, w.next, true
	w.jobs[key(host, w.next)] = &again
	left := j.sent + j.route.Timeout - w.now
	w.step(host, Arrived{
		RequestNumber: w.next, ID: fmt.Sprint(w.next), Route: j.route, Service: "llm",
		PromptTokens: j.prompt, AnswerTokens: j.answer, Deadline: w.now + left,
	})
	number := w.next
	w.at(left, func() { w.timeOut(host, number) })
}

// timeOut has the caller leave if the request has not ended.
func (w *world) timeOut(host int, number uint64) {
	if w.cores[host].requests[number] == nil {
		return
	}
	j := w.jobs[key(host, number)]
	w.results = append(w.results, result{route: j.route.Name, prompt: j.prompt})
	w.step(host, CallerGone{RequestNumber: number})
}

func (w *world) send(host int, s Send) {
	seen := w.jobs[key(host, s.RequestNumber)]
	parts := len(s.Members)
	for i, m := range s.Members {
		j := &job{
			host: host, number: s.RequestNumber, attempt: s.Attempt, route: seen.route, prompt: seen.prompt,
			left: readTime(w.engine, seen.prompt, parts), parts: &parts, home: w.servers[s.Members[0].Upstream], leads: i == 0, sent: seen.sent, events: seen.events,
		}
		w.at(5*time.Millisecond, func() {
			server := w.servers[m.Upstream]
			if j.leads {
				server.queue = append(server.queue, j)
			} else {
				server.running = append([]*job{j}, server.running...)
			}
			w.work(server)
		})
	}
}

// work begins the server's next pass if none is under way.
func (w *world) work(s *playedServer) {
	if s.ends > w.now {
		return
	}
	for len(s.queue) > 0 && leading(s.running) < w.engine.Slots {
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	writing := len(s.running) > 0 && len(w.writersOf(s)) > 0
	reading := w.read(s, writing)
	s.writers = w.writersOf(s)
	if len(s.writers) == 0 && reading == 0 {
		return
	}
	pass := reading
	if len(s.writers) > 0 {
		context := 0
		for _, j := range s.writers {
			context += j.prompt
		}
		pass += passTime(w.engine, len(s.writers), context)
	}
	s.ends = w.now + pass
	w.at(pass, func() { w.endPass(s) })
}

// writersOf lists the requests of a server whose prompt is read.
func (w *world) writersOf(s *playedServer) []*job {
	var writers []*job
	for _, j := range s.running {
		if j.leads && j.left == 0 && *j.parts <= 0 {
			writers = append(writers, j)
		}
	}
	return writers
}

func leading(jobs []*job) int {
	n := 0
	for _, j := range jobs {
		if j.leads {
			n++
		}
	}
	return n
}

// read reads as much as one pass takes and returns the time for it.
func (w *world) read(s *playedServer, writers bool) time.Duration {
	room := time.Duration(math.MaxInt64)
	if writers {
		room = time.Duration(w.engine.StepsPerPass*w.engine.PrefillChunkTokens) * w.engine.PrefillTimePerToken
	}
	total := time.Duration(0)
	for _, j := range append([]*job(nil), s.running...) {
		if j.left == 0 || room <= 0 {
			continue
		}
		took := min(j.left, room)
		j.left -= took
		room -= took
		total += took
		if j.left == 0 {
			*j.parts--
			if !j.leads {
				s.running = without(s.running, j)
				w.at(total, func() { w.work(j.home) })
			}
		}
		if !writers {
			break
		}
	}
	return total
}

func without(jobs []*job, gone *job) []*job {
	kept := jobs[:0:0]
	for _, j := range jobs {
		if j != gone {
			kept = append(kept, j)
		}
	}
	return kept
}

// endPass gives an event to each writer.
func (w *world) endPass(s *playedServer) {
	for _, j := range s.writers {
		if j.first == 0 {
			j.first, j.last = w.now, w.now
			w.step(j.host, FirstPiece{RequestNumber: j.number, Attempt: j.attempt})
		}
		j.worst = max(j.worst, w.now-j.last)
		j.last = w.now
		j.events--
		if j.events <= 0 && w.cores[j.host].requests[j.number] == nil {
			s.running = without(s.running, j)
			continue
		}
		if j.events <= 0 {
			s.running = without(s.running, j)
			inTime := j.first-j.sent <= j.route.TargetLatency && j.worst <= j.route.TargetPieceGap
			w.results = append(w.results, result{route: j.route.Name, prompt: j.prompt, delivered: true, inTime: inTime})
			w.step(j.host, Finished{RequestNumber: j.number, Attempt: j.attempt})
		}
	}
	w.work(s)
}

// inTime is the share of a route's requests that were answered in time.
func (w *world) inTime(name string) float64 {
	all, good := 0, 0
	for _, r := range w.results {
		if r.route == name {
			all++
			if r.inTime {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, all))
}

// traffic has requests arrive at random hosts at the rate given.
func (w *world) traffic(random *rand.Rand, r *route.Route, perSecond, mean, spread float64, answer int, until time.Duration) {
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		prompt := int(mean * math.Exp(spread*random.NormFloat64()-spread*spread/2))
		tokens := int(float64(answer) * math.Exp(0.7*random.NormFloat64()-0.25))
		w.arrive(random.IntN(len(w.cores)), r, max(100, min(600000, prompt)), max(20, min(3400, tokens)))
		w.at(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.at(0, next)
}
