package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/front"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/platform"
)

const (
	memoryLimit = 284 << 20 // bytes
	uploadSize  = 64 << 20  // bytes
)

const uploadsConfig = `{"version":"1","services":[{"name":"s","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"cold":"0s","coldPerS":100}],
 "tenants":[{"name":"acme","apiKeys":["key"],"priority":0,"ratePerS":0,"burst":0}],
 "virtualHosts":[{"host":"h.example","pathRules":[{"name":"r","prefix":"/","kind":"unsafe","timeout":"6s","targetLatency":"1s","priority":1,"service":"s","maxAttempts":2,"public":false}]}]}`

// startProgram starts an instance as a process, and returns its loopback address and its
// process.
func startProgram(t *testing.T, store string) (ip string, p *os.Process) {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "parsleyproxy")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building parsleyproxy failed: %v\n%s", err, out)
	}
	ip = fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()/250%150, 1+os.Getpid()%250)
	settings, err := json.Marshal(map[string]any{
		"nodeName": "front-1", "zone": "z1", "bootstrap": true,
		"limits":   map[string]any{"cpuShare": 1, "cpuCores": 1, "memoryMb": memoryLimit >> 20},
		"listen":   map[string]any{"front": ip + ":8388", "ready": ip + ":8384", "control": ip + ":8381"},
		"platform": map[string]any{"address": store, "ttlMin": "1000ms"},
		"bounds":   map[string]any{"grace": "6s", "budgetRatio": 0.2, "budgetWindow": "10s", "budgetExtra": 64, "quotaWindow": "5s", "quotaOverage": 0.1, "quotaSlack": 20, "holdMax": "10000ms", "thawSlack": "300ms"},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "settings.json")
	writeFile(t, path, string(settings))
	cmd := exec.Command(program, "front", "--log-level", "warn")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait() // the error states that it was killed
	})
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if res, err := http.Get("http://" + ip + ":8384/api/readyz"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return ip, cmd.Process
			}
		}
	}
	t.Fatal("the instance was not ready within 15 s")
	return "", nil
}

// Guards against request bodies that take an instance over its memory limit, at which the
// platform kills it with all requests in progress.
func TestUploadsStayWithinMemoryLimit(t *testing.T) {
	for _, count := range []int{3, 10} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			store, err := standin.StartStore("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer store.Close()
			store.Put("op/config", uploadsConfig)
			for i := range 2 {
				u, err := standin.StartUpstream(standin.UpstreamConfig{ID: fmt.Sprint("i-", i), Service: "s", Zone: "z1", Addr: "127.0.0.1:0", Handler: func(w http.ResponseWriter, r *http.Request) {
					n, _ := io.Copy(io.Discard, r.Body)
					_, _ = fmt.Fprint(w, n)
				}})
				if err != nil {
					t.Fatal(err)
				}
				defer u.Crash()
				key, value := u.Registration("", false)
				store.Put(key, value)
			}
			ip, process := startProgram(t, store.Addr())
			var requests atomic.Int64
			send := func(client *http.Client, body []byte) (status int, answer string, err error) {
				req, err := http.NewRequest(http.MethodPost, "http://"+ip+":8388/a", bytes.NewReader(body))
				if err != nil {
					return 0, "", err
				}
				req.Host = "h.example"
				req.Header.Set("Request-Id", fmt.Sprint("r-", requests.Add(1)))
				req.Header.Set("Request-Deadline-Ms", "6000")
				req.Header.Set("Api-Key", "key")
				res, err := client.Do(req)
				if err != nil {
					return 0, "", err
				}
				defer func() { _ = res.Body.Close() }()
				if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "" {
					t.Error("a refusal without Retry-After")
				}
				text, err := io.ReadAll(res.Body)
				return res.StatusCode, string(text), err
			}
			var small, uploads sync.WaitGroup
			stop := make(chan struct{})
			for range 8 {
				small.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					defer client.CloseIdleConnections()
					for {
						if status, answer, err := send(client, []byte("small")); status != http.StatusOK || answer != "5" {
							t.Errorf("small request: status %d, answer %q, error %v", status, answer, err)
							return
						}
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
					}
				})
			}
			large := make([]byte, uploadSize)
			var served atomic.Int64
			for range count {
				uploads.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					defer client.CloseIdleConnections()
					switch status, answer, err := send(client, large); {
					case status == http.StatusOK && answer == strconv.Itoa(uploadSize):
						served.Add(1)
					case status != http.StatusServiceUnavailable:
						t.Errorf("upload: status %d, answer %q, error %v", status, answer, err)
					}
				})
			}
			uploads.Wait()
			close(stop)
			small.Wait()
			if n := served.Load(); n == 0 {
				t.Error("no upload was served")
			}
			peak, err := lab.PeakMemory(process.Pid)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d of %d uploads served, peak memory %d MiB", served.Load(), count, peak>>20)
			if peak >= memoryLimit {
				t.Errorf("peak memory %d bytes, limit %d", peak, memoryLimit)
			}
		})
	}
}
