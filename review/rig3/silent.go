package main

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
	"rhubarbreel.example/rhubarbreel/internal/policy/rrsource"
)

// link forwards connections to an address. Those that are open can go silent: nothing more
// passes, in either direction, and neither side is closed. New ones work.
type link struct {
	target string

	// mu guards open.
	mu   sync.Mutex
	open []*pair
}

// pair is the two ends of a forwarded connection.
type pair struct {
	near, far net.Conn
	// silent is closed when the connection goes silent.
	silent chan struct{}
	// usedAt is when bytes were last passed on, in Unix nanoseconds.
	usedAt atomic.Int64
}

// newLink returns a link to the target and the address that it listens on.
func (f *fleet) newLink(ctx context.Context, target string) (*link, string, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", eris.Wrap(err, "listening for a link")
	}
	l := &link{target: target}
	f.addCloser(func() {
		_ = listener.Close()
		l.closeAll()
	})
	go l.serve(ctx, listener)
	return l, listener.Addr().String(), nil
}

func (l *link) serve(ctx context.Context, listener net.Listener) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		var dialer net.Dialer
		far, err := dialer.DialContext(ctx, "tcp4", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far, silent: make(chan struct{})}
		l.mu.Lock()
		l.open = append(l.open, p)
		l.mu.Unlock()
		go p.forward(near, far)
		go p.forward(far, near)
	}
}

// forward copies what one end sends to the other, and closes both at its end. Of a silent
// connection nothing is passed on, and it stays open.
func (p *pair) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			return
		default:
		}
		if n > 0 {
			p.usedAt.Store(time.Now().UnixNano())
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// silenceUnused lets the open connections that have been without use for the time go silent for
// good, and returns how many there are.
func (l *link) silenceUnused(limit time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.open {
		if time.Since(time.Unix(0, p.usedAt.Load())) < limit {
			continue
		}
		select {
		case <-p.silent:
		default:
			close(p.silent)
			n++
		}
	}
	return n
}

func (l *link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.open {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

// sixMachines are the machines of the selka deployment, with short names of its zones.
func sixMachines() []place {
	var out []place
	for _, p := range []place{{"helsinki-a", "a"}, {"tampere-a", "b"}, {"oulu-a", "c"}} {
		for n := 1; n <= 2; n++ {
			out = append(out, place{fmt.Sprintf("front-%s-%d", p.name, n), p.zone})
		}
	}
	return out
}

// readers returns the daemons that read the store for the others: the first of each region.
func readers(daemons []*daemon) []*daemon {
	ranked := slices.SortedFunc(slices.Values(daemons), func(a, b *daemon) int {
		return rrsource.CompareRank(rrunit.InstanceID(a.name), rrunit.InstanceID(b.name))
	})
	var out []*daemon
	for _, d := range ranked {
		if !slices.ContainsFunc(out, func(o *daemon) bool { return o.zone == d.zone }) {
			out = append(out, d)
		}
	}
	return out
}

// Times of the case with silent connections.
const (
	// unusedTime is how long a connection to the store must have been without use to go silent.
	unusedTime = 4 * time.Second
	// calmTime is how long after that machines are lost; it is longer than stability-window-ms.
	calmTime = 8 * time.Second
	// askTime is how long the new route is asked for, from config-apply-ms on.
	askTime = 3 * time.Second
)

// playSilentStore has unused connections to the store go silent. Later the machines that read
// the store for the others are lost, and a version with a new route follows.
func playSilentStore(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	store, err := f.startBehindLink(ctx)
	if err != nil {
		return nil, err
	}
	if trouble {
		f.rec.note("%d connections to the store, unused for %s, go silent", store.silenceUnused(unusedTime), unusedTime)
	}
	if err := pause(ctx, calmTime); err != nil {
		return nil, err
	}
	lost := readers(f.daemons)
	survivors := slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return slices.Contains(lost, d) })
	if trouble {
		for _, d := range lost {
			d.kill()
			f.rec.note("machine %s is lost", d.name)
		}
	}
	acked := f.putTable(secondVersion, []string{"one"}, routing().Route("one", "one", true), routing().Route("added", "one", true))
	if err := pause(ctx, selkaApply+time.Until(acked)); err != nil {
		return nil, err
	}
	answers := load{path: "/added/", interval: 20 * time.Millisecond, length: askTime}.run(ctx, f, survivors)
	return refusedAsUnknown(answers, acked, selkaApply), nil
}

// startBehindLink starts the machines of the selka deployment, whose connections to the store
// pass a link, and waits until they are in touch.
func (f *fleet) startBehindLink(ctx context.Context) (*link, error) {
	store, address, err := f.newLink(ctx, f.address)
	if err != nil {
		return nil, err
	}
	f.address, f.oneCore = address, true
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := f.addSearcher("i-one-"+zone, "one", zone, processing); err != nil {
			return nil, err
		}
	}
	f.putTable(firstVersion, []string{"one"}, routing().Route("one", "one", true))
	if err := f.startDaemons(ctx, bounds{selkaDrain, selkaApply}, sixMachines()...); err != nil {
		return nil, err
	}
	return store, pause(ctx, settle)
}
