// Command 4 gives the route of an accepted batch job another name in the next version of the configuration, with the same host,
// prefix and service, and looks whether the job's items are listed when finish_s is over.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"siskinrun/review/stage"
)

const (
	itemCount = 60
	// finish is finish_s of the deployments.
	finish = 18 * time.Second
	// calm is the time at the end of finish in which no worker may have an item.
	calm     = 5 * time.Second
	patience = 4 * time.Second
	lot      = "7c41e09b52d6a3f8"
)

type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"results"`
}

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
	if err := f.Install(stage.Configuration(7)); err != nil {
		return 0, err
	}
	var workers []*stage.Worker
	for i, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w := &stage.Worker{ID: fmt.Sprint("i-lm-", i), Service: "lm", Zone: z, Version: "v1", Engine: true, Events: 20, Pace: 50 * time.Millisecond}
		if err := f.AddWorker(w); err != nil {
			return 0, err
		}
		workers = append(workers, w)
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	if err := handIn(f); err != nil {
		return 0, err
	}
	if _, err := awaitResults(f, 1, 15*time.Second); err != nil {
		return 0, err
	}
	next := strings.Replace(stage.Configuration(8), `"timeout_ms":8000`, `"timeout_ms":7000`, 1)
	if stage.Trouble() {
		next = strings.Replace(next, `"name":"r-batch"`, `"name":"r-cutlist"`, 1)
	}
	if err := f.Install(next); err != nil {
		return 0, err
	}
	return judge(f, workers)
}

// handIn hands in the job until it is accepted.
func handIn(f *stage.Fleet) error {
	var items []stage.Item
	for n := range itemCount {
		items = append(items, stage.NewItem(fmt.Sprint("e5b2907c", n)))
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if f.Send(f.Frontend[0], patience, "POST", stage.BatchPath+"7c41e0", stage.Key, lot, stage.Lot(items...)).Status == 202 {
			return nil
		}
	}
	return fmt.Errorf("the job was not accepted")
}

// read returns the listed results of the job, from the first frontend machine that answers.
func read(f *stage.Fleet) (page, error) {
	all := page{}
	for {
		ok := false
		for _, p := range f.Frontend {
			a := f.Send(p, patience, "GET", fmt.Sprintf("/siskinrun/lots/%s?after=%d", lot, all.Next), stage.Key, "", "")
			g := page{}
			if a.Status != 200 || json.Unmarshal([]byte(a.Body), &g) != nil {
				continue
			}
			ok = true
			all.Total, all.Next = g.Total, g.Next
			all.Results = append(all.Results, g.Results...)
			if len(g.Results) == 0 {
				return all, nil
			}
			break
		}
		if !ok {
			return all, fmt.Errorf("the job cannot be read")
		}
	}
}

func awaitResults(f *stage.Fleet, n int, wait time.Duration) (page, error) {
	for end := time.Now().Add(wait); ; time.Sleep(500 * time.Millisecond) {
		l, err := read(f)
		if err == nil && len(l.Results) >= n {
			return l, nil
		}
		if time.Now().After(end) {
			return l, fmt.Errorf("%d of %d results are listed: %w", len(l.Results), n, err)
		}
	}
}

func judge(f *stage.Fleet, workers []*stage.Worker) (int, error) {
	l, err := awaitResults(f, itemCount, finish)
	if err == nil {
		s := fmt.Sprintf("all %d items are listed", len(l.Results))
		f.Record.Add(s)
		fmt.Println(s)
		return stage.Held, nil
	}
	if l.Total != itemCount {
		return 0, err
	}
	late := 0
	for _, w := range workers {
		for _, r := range w.Runs() {
			if time.Since(r.At) < calm {
				late++
			}
		}
	}
	s := fmt.Sprintf("%d of %d items are listed %v after the change; workers got %d items in the last %v", len(l.Results), l.Total, finish, late, calm)
	f.Record.Add("LOST", s)
	fmt.Println(s)
	if late > 0 {
		return stage.Held, nil // the items are still under way
	}
	return stage.Broken, nil
}
