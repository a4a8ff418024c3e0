package direct

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Guards against a process that is killed for its memory use without a log line that
// says so, and against many lines while memory stays near its limit.
func TestMemoryWatch(t *testing.T) {
	start := time.Unix(1000, 0)
	w := memoryWatch{limit: 1000}
	for _, c := range []struct {
		at   time.Duration
		used int64
		want memoryEvent
	}{
		{0, 699, memoryUnchanged},
		{1 * time.Second, 700, memoryNear},
		{2 * time.Second, 749, memoryUnchanged},
		{3 * time.Second, 750, memoryNear}, // grew by a step
		{4 * time.Second, 601, memoryUnchanged},
		{5 * time.Second, 599, memoryUnchanged},
		{6 * time.Second, 600, memoryUnchanged}, // was below for too short a time
		{7 * time.Second, 599, memoryUnchanged},
		{8 * time.Second, 599, memoryFell},
		{9 * time.Second, 550, memoryUnchanged},
		{10 * time.Second, 750, memoryUnchanged}, // logged a short time ago
		{11 * time.Second, 800, memoryNear},
		{20 * time.Second, 800, memoryUnchanged},
		{21 * time.Second, 710, memoryNear}, // still near after the interval
	} {
		if diff := cmp.Diff(c.want, w.update(start.Add(c.at), c.used)); diff != "" {
			t.Errorf("%d bytes after %v: %s", c.used, c.at, diff)
		}
	}
}

// Guards against a log line or gauges that do not show what holds the memory.
func TestMemoryUseIsReported(t *testing.T) {
	var log strings.Builder
	m := NewMetrics()
	r := New(Settings{Instance: "i1", MaxMemory: 1000}, Platform{}, m, hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true, TimeFormat: "-"}))
	shown := make(chan string, 1)
	callers, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		r.noteMemory(time.Unix(1000, 0), &memoryWatch{limit: 1000}, 900)
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		shown <- w.Body.String()
	})})
	if err != nil {
		t.Fatal(err)
	}
	defer callers.Close()
	r.callers.Store(callers)
	res, err := http.Get("http://" + callers.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	got := regexp.MustCompile(`"resident-bytes":[0-9]+`).ReplaceAllString(log.String(), `"resident-bytes":N`)
	want := `{"@level":"warn","@message":"memory near its limit","@timestamp":"-","bytes":900,"caller-connections":1,"limit-bytes":1000,"request-body-bytes":0,"requests":1,"resident-bytes":N,"response-body-bytes":0}` + "\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	text := <-shown
	for _, line := range []string{`memory_limit_bytes 1000`, `body_bytes{of="responses"} 0`, `body_bytes{of="requests"} 0`, `caller_connections 1`, `requests_in_progress 1`} {
		if !strings.Contains(text, "\nparsleyproxy_direct_"+line+"\n") {
			t.Errorf("no gauge %s in\n%s", line, text)
		}
	}
}

// Guards against figures that are not the memory of the process.
func TestMemoryFiguresShowUsedBuffer(t *testing.T) {
	const size = 256 << 20
	used := make([]byte, size)
	for i := 0; i < size; i += 4096 {
		used[i] = 1
	}
	if _, err := os.Stat("/proc/self/statm"); err == nil && residentMemory() < size {
		t.Errorf("resident memory is %d bytes with a buffer of %d", residentMemory(), size)
	}
	if got := newRuntimeMemory().read(); got < size {
		t.Errorf("the runtime has %d bytes with a buffer of %d", got, size)
	}
	runtime.KeepAlive(used)
}

func BenchmarkRuntimeMemory(b *testing.B) {
	m := newRuntimeMemory()
	for b.Loop() {
		m.read()
	}
}
