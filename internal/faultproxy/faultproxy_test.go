package faultproxy

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"skylarklead/test/kit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that answers each line with the line in capitals and sends
// the lines received to a channel.
func echo(t *testing.T) (address string, lines <-chan string) {
	t.Helper()
	l := kit.Must(net.Listen("tcp", "127.0.0.1:0"))(t)
	t.Cleanup(func() { l.Close() })
	got := make(chan string, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				sc := bufio.NewScanner(conn)
				for sc.Scan() {
					got <- sc.Text()
					io.WriteString(conn, strings.ToUpper(sc.Text())+"\n")
				}
			}()
		}
	}()
	return l.Addr().String(), got
}

func startProxy(t *testing.T) (*Proxy, net.Conn, *bufio.Reader, <-chan string) {
	t.Helper()
	target, lines := echo(t)
	p := kit.Must(Listen("127.0.0.1:0", target))(t)
	t.Cleanup(p.Close)
	conn, r := dial(t, p)
	return p, conn, r, lines
}

func dial(t *testing.T, p *Proxy) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := kit.Must(net.Dial("tcp", p.Address()))(t)
	t.Cleanup(func() { conn.Close() })
	return conn, bufio.NewReader(conn)
}

func wantLine(t *testing.T, conn net.Conn, r *bufio.Reader, want string) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	got, err := r.ReadString('\n')
	if err != nil || got != want+"\n" {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

func wantNoData(t *testing.T, conn net.Conn, r *bufio.Reader) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := r.ReadString('\n'); err == nil {
		t.Fatalf("read %q; want nothing", got)
	} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
		t.Fatalf("read failed with %v; want a timeout", err)
	}
}

func wantClosed(t *testing.T, conn net.Conn, r *bufio.Reader) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := r.ReadString('\n')
	if ne, ok := err.(net.Error); err == nil || ok && ne.Timeout() {
		t.Fatalf("read ended with %v; want the connection's end", err)
	}
}

func TestPassAndFreeze(t *testing.T) {
	p, conn, r, _ := startProxy(t)
	io.WriteString(conn, "one\n")
	wantLine(t, conn, r, "ONE")
	p.Freeze()
	io.WriteString(conn, "two\n")
	wantNoData(t, conn, r)
	p.Thaw()
	wantLine(t, conn, r, "TWO")
}

func TestHalfOpen(t *testing.T) {
	p, conn, r, lines := startProxy(t)
	p.Drop(Downstream, true)
	io.WriteString(conn, "one\n")
	if got := <-lines; got != "one" {
		t.Fatalf("target got %q", got)
	}
	wantNoData(t, conn, r)
	p.Drop(Downstream, false)
	wantClosed(t, conn, r)
}

func TestLostReply(t *testing.T) {
	p, conn, r, lines := startProxy(t)
	other, otherReader := dial(t, p)
	p.LoseReplies(1, []byte("append"))
	io.WriteString(other, "read\n")
	wantLine(t, other, otherReader, "READ")
	io.WriteString(conn, "append\n")
	wantClosed(t, conn, r)
	if got := []string{<-lines, <-lines}; got[1] != "append" || p.LostReplies() != 1 {
		t.Fatalf("target got %q, lost %d", got, p.LostReplies())
	}
}

func TestCutRefuseDelay(t *testing.T) {
	p, conn, r, _ := startProxy(t)
	p.Delay(Upstream, 50*time.Millisecond)
	began := time.Now()
	io.WriteString(conn, "late\n")
	wantLine(t, conn, r, "LATE")
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Fatalf("took %v", took)
	}
	p.ResetConnections()
	wantClosed(t, conn, r)
	p.Refuse(true)
	if refused, err := net.Dial("tcp", p.Address()); err == nil {
		defer refused.Close() // the reset may come only after the connection is made
		wantClosed(t, refused, bufio.NewReader(refused))
	}
}

// FreezeClients must isolate exactly the clients that match by their own address,
// not all or none of several, and Thaw must release them.
func TestFreezeFrom(t *testing.T) {
	p, conn, r, _ := startProxy(t)
	other, otherR := dial(t, p)
	io.WriteString(conn, "one\n")
	wantLine(t, conn, r, "ONE")
	io.WriteString(other, "one\n")
	wantLine(t, other, otherR, "ONE")
	mine := other.LocalAddr().String()
	p.FreezeClients(func(client string) bool { return client == mine && OwnsLocalAddress(os.Getpid(), client) })
	io.WriteString(other, "two\n")
	wantNoData(t, other, otherR)
	io.WriteString(conn, "two\n")
	wantLine(t, conn, r, "TWO")
	if n := p.FrozenConnections(); n != 1 || OwnsLocalAddress(os.Getppid(), mine) {
		t.Errorf("%d connections frozen, want 1; owned by the parent process: %v, want false", n, OwnsLocalAddress(os.Getppid(), mine))
	}
	p.Thaw()
	wantLine(t, other, otherR, "TWO")
}

// Guards against a lost path that new connections don't show: a listener that doesn't accept still has its
// connections opened by the kernel.
func TestIsolateHasConnectionsTimeOut(t *testing.T) {
	p, conn, r, lines := startProxy(t)
	if err := p.Isolate(); err != nil {
		t.Fatal(err)
	}
	if late, err := net.DialTimeout("tcp", p.Address(), 200*time.Millisecond); err == nil {
		late.Close()
		t.Error("a connection is opened while the proxy is isolated")
	}
	if _, err := conn.Write([]byte("held back\n")); err != nil {
		t.Fatal(err)
	}
	wantNoData(t, conn, r)
	if err := p.Reconnect(); err != nil {
		t.Fatal(err)
	}
	if line := <-lines; line != "held back" {
		t.Errorf("the target got %q", line)
	}
	again, err := net.DialTimeout("tcp", p.Address(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}
