// Program 8 has workers hand out bytes that are not their answers.
package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskinrun/review/stage-2/fleet"
)

const (
	workersPerZone = 4
	events         = 5
	eventStep      = 10 * time.Millisecond
	// garbleEvery is how many answers of a faulty worker there are for each that it spoils: 3 in 100, the dose of the site file.
	garbleEvery = 33
	clients     = 6
	requests    = 900
	pause       = 150 * time.Millisecond
	lots        = 30
	itemsPerLot = 10
	finish      = 18 * time.Second
)

// page is what a faulty worker hands out in place of its answer: a complete message without the request's ID and the signature.
const page = "<html><body>It works!</body></html>"

func main() {
	fleet.Main("review/8", 1, 115*time.Second, run)
}

type tally struct {
	mu     sync.Mutex
	broken map[string]int
}

func (t *tally) add(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken[what]++
}

func run(_ context.Context, f *fleet.Fleet) ([]string, error) {
	if err := f.StartAll(); err != nil {
		return nil, err
	}
	if err := f.Configure(fleet.Configuration(7)); err != nil {
		return nil, err
	}
	for z, zone := range fleet.Zones {
		for n := range workersPerZone {
			w := &fleet.Worker{ID: fmt.Sprintf("i-%d%d", z, n), Service: "bend-assist", Zone: zone, Engine: true, Slots: 8}
			w.Serve = answers(f, w, fleet.Trouble() && n%2 == 0)
			if err := f.StartWorker(w); err != nil {
				return nil, err
			}
		}
		if err := f.StartWorker(&fleet.Worker{ID: fmt.Sprintf("i-app%d", z), Service: "order-desk", Zone: zone, Slots: 6}); err != nil {
			return nil, err
		}
	}
	if err := f.AwaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	t := &tally{broken: map[string]int{}}
	submitted := submit(f)
	var g sync.WaitGroup
	for c := range clients {
		g.Add(1)
		go func() {
			defer g.Done()
			stream(f, t, c)
		}()
	}
	g.Wait()
	readLots(f, t, submitted)
	var broken []string
	for k, n := range t.broken {
		broken = append(broken, fmt.Sprintf("%s: %d times", k, n))
	}
	return broken, nil
}

// answers returns the behaviour of a worker of which, if it is faulty, each garbleEvery-th answer is a page.
func answers(f *fleet.Fleet, w *fleet.Worker, faulty bool) func(net.Conn, *fleet.Request) bool {
	var mu sync.Mutex
	count := 0
	return func(c net.Conn, q *fleet.Request) bool {
		mu.Lock()
		count++
		spoiled := faulty && count%garbleEvery == 0
		mu.Unlock()
		if !spoiled {
			return w.Stream(c, q, events, eventStep)
		}
		f.Record.Add("worker %s hands out a page in place of the answer to %s", w.ID, q.AttemptID())
		_ = fleet.Write(c, http.StatusOK, page, "Content-Type: text/html", "Connection: close")
		return false
	}
}

// stream sends the requests of one client, each once.
func stream(f *fleet.Fleet, t *tally, client int) {
	l := f.Of(fleet.Frontend)
	for i := range requests / clients {
		id := fmt.Sprintf("s%d-%d", client, i)
		a := fleet.Send(l[(client+i)%len(l)], http.MethodPost, "/chat/"+id, id, 5*time.Second,
			map[string]string{"X-Model": "m", "X-Token-Count": "250,26", "X-Prompt-Prefix": fmt.Sprintf("aa:200,%x:50", 1000*client+i)}, []byte("x"))
		f.Record.Add("client %d: request %s: %v", client, id, a)
		if a.Status/100 == 2 && a.Header.Get("X-Response-Signature") == "" {
			f.Record.Add("client %d: the success to %s has no signature: %q", client, id, a.Body)
			t.add("MIXED: a client gets a success without the worker's X-Response-Signature")
		}
		time.Sleep(pause)
	}
}

// submit submits the lots and returns the IDs of those that were accepted.
func submit(f *fleet.Fleet) []string {
	var accepted []string
	for n := range lots {
		id := fmt.Sprintf("lot%d", n)
		var l []any
		for i := range itemsPerLot {
			l = append(l, map[string]any{
				"id": fmt.Sprintf("%s-%d", id, i), "path": "/lot/" + id, "tokens": 426,
				"headers": map[string]string{"X-Model": "m", "X-Token-Count": "250,176"},
				"body":    base64.StdEncoding.EncodeToString([]byte("x")),
			})
		}
		b, err := json.Marshal(map[string]any{"requests": l})
		if err != nil {
			panic(err)
		}
		a := fleet.Send(f.Of(fleet.Frontend)[n%len(fleet.Zones)], http.MethodPost, "/lot/"+id, id, 4*time.Second,
			map[string]string{"Content-Type": "application/json"}, b)
		f.Record.Add("lot %s: %v", id, a)
		if a.Status == http.StatusAccepted {
			accepted = append(accepted, id)
		}
	}
	return accepted
}

// readLots reads the results of the lots and compares their texts.
func readLots(f *fleet.Fleet, t *tally, ids []string) {
	time.Sleep(finish / 6)
	for n, id := range ids {
		a := fleet.Send(f.Of(fleet.Frontend)[n%len(fleet.Zones)], http.MethodGet, "/siskinrun/lots/"+id+"?after=0", "", 4*time.Second, nil, nil)
		var v struct {
			Results []struct{ ID, State, Output string }
		}
		if a.Status != http.StatusOK || json.Unmarshal(a.Body, &v) != nil {
			f.Record.Add("results of %s: %v", id, a)
			continue
		}
		f.Record.Add("results of %s: %d of %d", id, len(v.Results), itemsPerLot)
		for _, r := range v.Results {
			if r.State != "completed" || r.Output == text(r.ID) {
				continue
			}
			f.Record.Add("item %s is completed with %q", r.ID, r.Output)
			t.add("MIXED: a result is completed and its text isn't the item's whole output")
		}
	}
}

// text returns the whole output of an item.
func text(id string) string {
	var l []string
	for n := 1; n <= events; n++ {
		l = append(l, fleet.Text(id, n))
	}
	return strings.Join(l, "\n")
}
