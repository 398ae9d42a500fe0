// Command 3 adds a route whose prefix is the path of a client's requests and one more slash, and looks which service runs them.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"siskinrun/review/stage"
)

const (
	// path is that of the requests. The prefix that begins it is stage.PlainPath, before and after the change.
	path = stage.PlainPath + "2f"
	// applyTime is twice config_apply_ms of the deployments.
	applyTime = 4 * time.Second
	requests  = 20
	patience  = 4 * time.Second
	// routes marks where the routes of a configuration begin.
	routes   = `"routes":[`
	services = `"services":[`
	service  = `{"name":"audit","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false},`
	newRoute = `{"name":"r-new","host":"desk.example","path_prefix":"%s","route_type":"idempotent","timeout_ms":4000,` +
		`"target_latency_ms":300,"priority":2,"service":"audit","max_attempts":2,"public":false},`
)

func main() {
	code, err := play()
	if err != nil {
		fmt.Fprintln(os.Stderr, "not played:", err)
		code = stage.Unplayed
	}
	os.Exit(code)
}

func play() (int, error) {
	f, err := stage.NewFleet(os.Args[1])
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if err := f.Install(strings.Replace(stage.Configuration(7), services, services+service, 1)); err != nil {
		return 0, err
	}
	workers := map[string][]*stage.Worker{}
	for i, z := range []string{"zone-a", "zone-b", "zone-c"} {
		for _, s := range []string{"app", "audit"} {
			w := &stage.Worker{ID: fmt.Sprint("i-", s, "-", i), Service: s, Zone: z, Version: "v1"}
			if err := f.AddWorker(w); err != nil {
				return 0, err
			}
			workers[s] = append(workers[s], w)
		}
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	if n := ask(f, "before"); n < requests {
		return 0, fmt.Errorf("%d of %d requests were served before the change", n, requests)
	}
	prefix := path + "/"
	if !stage.Trouble() {
		prefix = "/zuma118/2f/"
	}
	next := strings.Replace(stage.Configuration(8), services, services+service, 1)
	if err := f.Install(strings.Replace(next, routes, routes+fmt.Sprintf(newRoute, prefix), 1)); err != nil {
		return 0, err
	}
	time.Sleep(applyTime)
	served := ask(f, "after")
	return judge(f, workers, served), nil
}

// ask sends requests to the frontend machines in turn and returns how many were served.
func ask(f *stage.Fleet, when string) int {
	served := 0
	for n := range requests {
		id := fmt.Sprint(when, n)
		for try := range 20 {
			a := f.Send(f.Frontend[(n+try)%len(f.Frontend)], patience, "POST", path, stage.Key, fmt.Sprint(id, "try", try), "{}", "X-Deadline-Ms: 4000")
			if a.Status == 200 && a.Err == nil {
				served++
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return served
}

func judge(f *stage.Fleet, workers map[string][]*stage.Worker, served int) int {
	wrong := 0
	for _, w := range workers["audit"] {
		for _, r := range w.Runs() {
			wrong++
			f.Record.Add("ROUTE", r.ID, "for", r.URI, "was run by", w.ID, "of the service audit")
		}
	}
	s := fmt.Sprintf("%d of %d requests for %s were served after the change, %d were run by a service that no version allows", served, requests, path, wrong)
	f.Record.Add(s)
	fmt.Println(s)
	switch {
	case wrong > 0:
		return stage.Broken
	case served == 0:
		return stage.Unplayed
	}
	return stage.Held
}
