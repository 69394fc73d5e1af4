package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy is a TCP proxy before a process. silence makes its open connections silent for good: they stay open,
// and their bytes are dropped. New connections work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[*proxied]bool
}

type proxied struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(address, target string) *proxy {
	listener, err := net.Listen("tcp", address)
	check(err)
	p := &proxy{listener: listener, target: target, conns: make(map[*proxied]bool)}
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxied{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { c.copy(server, client) })
	wait.Go(func() { c.copy(client, server) })
	wait.Wait()
	_ = client.Close()
	_ = server.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards the bytes of one direction. The end of a silent connection is not forwarded either.
func (c *proxied) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if !c.silent.Load() {
				if err == io.EOF {
					_ = to.(*net.TCPConn).CloseWrite()
				} else {
					_ = to.Close()
				}
			}
			return
		}
	}
}

// silence makes the open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}
