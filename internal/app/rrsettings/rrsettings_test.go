package rrsettings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbreel.example/rhubarbreel/internal/app/rrsettings"
	"rhubarbreel.example/rhubarbreel/internal/domain/rrunit"
)

const validSettings = `{"instance":"a1","zone":"etela-1","region":"etela","callers":"10.0.0.1:8100",
"operators":"10.0.0.1:8101","peers":"10.0.0.1:8102","platform":"http://10.0.0.9:9000",
"limits":{"connections":100},"times":{"poll":"1s"}}`

func load(t *testing.T, text string) (rrsettings.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a1.json")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := rrsettings.Load(path)
	if err != nil {
		return s, err
	}
	return s, s.Check()
}

func TestLoad(t *testing.T) {
	s, err := load(t, validSettings)
	must.NoError(t, err)
	must.Eq(t, 100, s.Limits.Connections)
	must.Eq(t, rrsettings.Default().Limits.Requests, s.Limits.Requests)
	must.Eq(t, "1s", s.Times.LoadPollInterval.String())
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"limits":`, `"limit":`, "limit"},
		{`"connections":100`, `"connection":100`, "connection"},
		{`"connections":100`, `"connections":0`, "limits.connections"},
		{`"connections":100`, `"address":-1`, "limits.address"},
		{`"connections":100`, `"requests":99999999`, "limits.requests"},
		{`"connections":100`, `"memory":5`, "limits.memory"},
		{`"connections":100`, `"connections":"many"`, "limits.connections"},
		{`"limits":`, `"seeds":["x"],"limits":`, "seeds[0]"},
		{`"poll":"1s"`, `"poll":"1 moon"`, "times.poll"},
		{`"poll":"1s"`, `"poll":1`, "times.poll"},
		{`"poll":"1s"`, `"list":"-1s"`, "times.list"},
		{`"poll":"1s"`, `"stop":"2h"`, "times.stop"},
		{`"a1"`, `""`, "instance"},
		{`"etela-1"`, `"a b"`, "zone"},
		{`"region":"etela"`, `"region":7`, "region"},
		{`10.0.0.1:8101`, `10.0.0.1:8100`, "operators"},
		{`10.0.0.1:8102`, `0.0.0.0:8100`, "peers"},
		{`10.0.0.1:8102`, `[::ffff:10.0.0.1]:8101`, "peers"},
		{`10.0.0.1:8100`, `host:8100`, "callers"},
		{`10.0.0.1:8100`, `10.0.0.1:0`, "callers"},
		{`http://10.0.0.9:9000`, `10.0.0.9:9000`, "platform"},
		{`http://10.0.0.9:9000`, `http://10.0.0.1:8101`, "platform"},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		must.NotEq(t, validSettings, text)
		_, err := load(t, text)
		fe, ok := errors.AsType[*rrunit.FieldError](err)
		must.True(t, ok, must.Sprint(c.new, err))
		must.Eq(t, c.key, fe.Field)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"times":{"poll":"9999999999h"}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := rrsettings.Default()
		if rrunit.DecodeStrict(b, &s) != nil || s.Check() != nil {
			return
		}
		out, err := json.Marshal(s)
		must.NoError(t, err)
		again := rrsettings.Default()
		must.NoError(t, rrunit.DecodeStrict(out, &again))
		must.NoError(t, again.Check())
		must.Eq(t, s, again)
	})
}
