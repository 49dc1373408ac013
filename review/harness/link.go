package harness

import (
	"io"
	"net"
)

// Link is a network link to an address, on which packets may be delayed.
type Link struct {
	Address string

	listener net.Listener
	to       string
	// delay is called with each piece of data before it is passed on.
	delay func(data []byte)
}

// NewLink opens a link to an address.
func NewLink(to string, delay func(data []byte)) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{Address: listener.Addr().String(), listener: listener, to: to, delay: delay}
	go l.serve()
	return l, nil
}

// Close closes the link for new connections.
func (l *Link) Close() { l.listener.Close() }

func (l *Link) serve() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(in)
	}
}

// connect passes data on in both directions. What was sent before a side closed still arrives.
func (l *Link) connect(in net.Conn) {
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		in.Close()
		return
	}
	go func() {
		_, _ = io.Copy(in, out)
		in.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			l.delay(buffer[:n])
			if _, err := out.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	out.Close()
}
