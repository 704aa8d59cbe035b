package rrplatform_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// callerConn is a caller's connection on which the test controls when a request is
// sent.
type callerConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (d *daemon) openConn(t *testing.T) *callerConn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", d.settings.CallerAddress.String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &callerConn{conn: conn, reader: bufio.NewReader(conn)}
}

func (o *callerConn) send(path string) error {
	_, err := fmt.Fprintf(o.conn, "GET %s HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: 2000\r\n\r\n", path, newID())
	return err
}

// receive reads the next answer. It reports as closes whether the server closes the
// connection after it.
func (o *callerConn) receive() (a answer, closes bool) {
	res, err := http.ReadResponse(o.reader, nil)
	if err != nil {
		return answer{err: err}, true
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(body), err: err}, res.Close
}

// Near the end of a planned stop, a request on a connection that was opened before is
// still answered while another one is in progress.
func TestStopAnswersLateRequests(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	for _, s := range f.searchersOf("one") {
		s.SetProcessingTime(400 * time.Millisecond)
	}
	slow := d.openConn(t)
	d.stop()
	// In the first half of the grace period the load balancer stops sending requests.
	notReadyPeriod := time.After(d.settings.Bounds.GracePeriod / 2)
	time.Sleep(d.settings.Bounds.GracePeriod/2 - 200*time.Millisecond)
	must.NoError(t, slow.send("/one/slow"))
	late := d.openConn(t)
	<-notReadyPeriod
	time.Sleep(50 * time.Millisecond)
	must.NoError(t, late.send("/one/late"))
	for _, o := range []*callerConn{slow, late} {
		a, closes := o.receive()
		must.NoError(t, a.err)
		must.Eq(t, http.StatusOK, a.status)
		must.True(t, closes, must.Sprint("the server keeps the connection open"))
	}
	select {
	case err := <-d.done:
		must.NoError(t, err)
		d.done <- nil
	case <-time.After(d.settings.Bounds.GracePeriod):
		t.Fatal("daemon did not stop within the grace period")
	}
}

// A request whose body arrives late in the grace period is not passed on to a searcher that
// can't answer it before the daemon ends, and what is still under way then is answered, not
// cut.
func TestStopCutsLateRequests(t *testing.T) {
	f := newFleet(t)
	d := f.start("d1", "a")
	for _, s := range f.searchersOf("one") {
		s.SetProcessingTime(1500 * time.Millisecond)
	}
	late, slow := d.openConn(t), d.openConn(t)
	const head = "POST /once/late HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: late\r\nX-Time-Budget-Ms: 4000\r\nContent-Length: 4\r\n\r\n"
	start := time.Now()
	d.stop()
	// The grace period is 3 s.
	time.Sleep(time.Second)
	_, err := io.WriteString(late.conn, head+"bo")
	must.NoError(t, err)
	time.Sleep(400 * time.Millisecond)
	must.NoError(t, slow.send("/one/slow"))
	time.Sleep(900 * time.Millisecond)
	_, err = io.WriteString(late.conn, "dy")
	must.NoError(t, err)

	a, closes := late.receive()
	must.NoError(t, a.err)
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.NotEq(t, "", a.header.Get("Retry-After"))
	must.True(t, closes)
	must.Less(t, 2500*time.Millisecond, time.Since(start), must.Sprint("a request that can't be served waits for its refusal"))

	a, closes = slow.receive()
	must.NoError(t, a.err)
	must.Eq(t, http.StatusBadGateway, a.status)
	must.True(t, closes)
	must.Less(t, 3*time.Second, time.Since(start))
	for _, s := range f.searchersOf("one") {
		for _, run := range s.Runs() {
			must.NotEq(t, "late", run.ID)
		}
	}
}
