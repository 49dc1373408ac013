package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	healthPath = "/healthz"
	// crashBody in a request's body crashes the replica that runs it, crashAfter it has begun to.
	crashBody  = "crash"
	crashAfter = 20 * time.Millisecond
)

// run is a request that a replica began to work on.
type run struct {
	id, replica string
	crash       bool
	at          time.Time
	// ended is when the work was complete, zero if it was dropped since its connection was closed.
	ended time.Time
}

// replica is a stand-in of a replica, of a language model if model isn't "". It does the work that a
// request's body asks for: "work_ms=N", or "events=N gap_ms=N" for a stream.
type replica struct {
	id, service, zone, model string
	// slots requests run at once, queue more may wait; the next ones are refused.
	slots, queue int
	// lateAnswer returns what the replica sends again, or in addition, after an answer: late, at the point
	// where the next answer on the connection is due; nil for nothing.
	lateAnswer func(id string, status int, answer []byte) []byte
	log        *record

	// crashed is called with the id of the incarnation that has crashed, back once the next one serves.
	crashed, back func(id string)

	address  string
	listener net.Listener

	mu      sync.Mutex
	running int
	waiting int
	freed   chan struct{}
	runs    []*run
	answers int
	late    int
	beats   uint64
	// conns are the open connections, down is set from a crash until the next start.
	conns  map[net.Conn]bool
	down   bool
	starts int
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address, r.freed, r.conns = l.Addr().String(), make(chan struct{}), make(map[net.Conn]bool)
	r.listen(l)
	return nil
}

func (r *replica) listen(l net.Listener) {
	r.mu.Lock()
	r.listener, r.down = l, false
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go func() {
				r.serve(c)
				r.mu.Lock()
				delete(r.conns, c)
				r.mu.Unlock()
			}()
		}
	}()
}

// downtime is how long a replica is away after a crash.
const downtime = 1500 * time.Millisecond

// crash ends the replica: its connections are reset, and it starts again at its address under a new id.
func (r *replica) crash() {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return
	}
	r.down = true
	former := r.id
	r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	r.starts++
	name, _, _ := strings.Cut(former, ".")
	r.id = fmt.Sprintf("%s.%d", name, r.starts)
	r.mu.Unlock()
	r.log.add("crashed    %s", former)
	r.crashed(former)
	time.AfterFunc(downtime, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.log.add("not back   %s: %v", r.id, err)
			return
		}
		r.listen(l)
		r.log.add("started    %s", r.id)
		r.back(r.id)
	})
}

// entry is the replica's entry in the list of replicas.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	e := map[string]any{
		"service": r.service, "addr": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "cold_left_ms": 0, "seq": r.beats,
	}
	if r.model != "" {
		e["stage"], e["models"] = "mixed", r.models()
	}
	return e
}

func (r *replica) models() []any {
	return []any{map[string]any{"name": r.model, "version": 1, "adapters": []any{}}}
}

// exchange is one request on a connection. closed receives the result of waiting for more input.
type exchange struct {
	conn   net.Conn
	req    *http.Request
	body   string
	closed chan error
	// ended is set if closed was received.
	ended bool
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if len(late) > 0 {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		x := &exchange{conn: c, req: req, body: string(body), closed: make(chan error, 1)}
		go func() {
			_, err := in.Peek(1)
			x.closed <- err
		}()
		var ok bool
		if late, ok = r.handle(x); !ok {
			return
		}
		if x.ended || <-x.closed != nil {
			return
		}
	}
}

// handle answers a request. It returns what follows late, and false if the connection is to be closed.
func (r *replica) handle(x *exchange) (late []byte, ok bool) {
	id := x.req.Header.Get("Skylarklead-Request-Id")
	r.mu.Lock()
	own := r.id
	r.mu.Unlock()
	if want := x.req.Header.Get("Skylarklead-Expect-Instance"); want != "" && want != own {
		return nil, x.reply(421, id, "Skylarklead-Instance-Id: "+own+"\r\n", "")
	}
	switch x.req.URL.Path {
	case healthPath:
		return nil, x.reply(200, id, "Skylarklead-Instance-Id: "+own+"\r\n", "")
	case "/-/report":
		report, _ := json.Marshal(map[string]any{
			"stage": "mixed", "models": r.models(), "busy": false, "seq": 0, "queued": 0, "active": 0,
			"kv_used": 0, "kv_total": 100000, "handles": 0, "state": "ready",
		})
		return nil, x.reply(200, id, "Content-Type: application/json\r\n", string(report))
	}
	if !r.acquire() {
		return r.answer(x, id, 503, "Skylarklead-Not-Executed: 1\r\n", "")
	}
	defer r.release()
	run := &run{id: id, replica: own, crash: strings.Contains(x.body, crashBody), at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.log.add("run        %s at %s (%s)", id, own, strings.TrimSpace(x.body))
	seal := "Skylarklead-Response-Seal: " + own + "." + id + "\r\n"
	if strings.Contains(x.body, crashBody) {
		time.Sleep(crashAfter)
		r.crash()
		return nil, false
	}
	if events := x.number("events"); events > 0 {
		return nil, r.stream(x, run, seal, events)
	}
	if !x.work(time.Duration(x.number("work_ms")) * time.Millisecond) {
		r.log.add("dropped    %s at %s: its connection was closed", id, r.id)
		return nil, false
	}
	r.end(run)
	return r.answer(x, id, 200, seal, "done "+id+"\n")
}

func (r *replica) end(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ended = time.Now()
}

// answer sends an answer to a caller's request.
func (r *replica) answer(x *exchange, id string, status int, header, body string) (late []byte, ok bool) {
	data := encode(status, id, header, body)
	if _, err := x.conn.Write(data); err != nil {
		return nil, false
	}
	r.mu.Lock()
	r.answers++
	r.mu.Unlock()
	if r.lateAnswer == nil {
		return nil, true
	}
	if late = r.lateAnswer(id, status, data); late != nil {
		r.mu.Lock()
		r.late++
		r.mu.Unlock()
	}
	return late, true
}

func encode(status int, id, header, body string) []byte {
	named := ""
	if id != "" {
		named = "Skylarklead-Request-Id: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%sKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), named, header, len(body), body)
}

func (x *exchange) reply(status int, id, header, body string) bool {
	_, err := x.conn.Write(encode(status, id, header, body))
	return err == nil
}

// number returns a number that the request's body asks for, 0 if it doesn't.
func (x *exchange) number(name string) int {
	for _, field := range strings.Fields(x.body) {
		if text, ok := strings.CutPrefix(field, name+"="); ok {
			n, _ := strconv.Atoi(text)
			return n
		}
	}
	return 0
}

// work takes a time; it returns false once the connection was closed.
func (x *exchange) work(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.closed:
		x.ended = true
		return false
	}
}

func (r *replica) stream(x *exchange, run *run, seal string, events int) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nSkylarklead-Request-Id: %s\r\n%sSkylarklead-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", run.id, seal)
	if _, err := io.WriteString(x.conn, head); err != nil {
		return false
	}
	gap := time.Duration(x.number("gap_ms")) * time.Millisecond
	for n := 1; n <= events; n++ {
		if !x.work(gap) {
			r.log.add("dropped    %s at %s: its connection was closed", run.id, r.id)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	r.end(run)
	return err == nil
}

// acquire waits for a slot; it returns false at once if too many requests wait.
func (r *replica) acquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots && r.waiting >= r.queue {
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		freed := r.freed
		r.mu.Unlock()
		<-freed
		r.mu.Lock()
	}
	r.waiting--
	r.running++
	return true
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	close(r.freed)
	r.freed = make(chan struct{})
}

// runsOf returns the runs of a request.
func (r *replica) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, run := range r.runs {
		if run.id == id {
			out = append(out, *run)
		}
	}
	return out
}
