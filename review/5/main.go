// Command 5 sends requests on kept connections to a frontend machine that was told to stop 3.1 to 3.5 s ago, and looks whether
// each request that the machine reads and passes on is answered whole. As the platform does, it kills the machine's process
// grace_s after SIGTERM if it still runs.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"siskinrun/review/stage"
)

const (
	clients = 8
	// sentAfter is the time from SIGTERM to the first request: later than the 3 s that the rule excuses. sentGap is the time
	// between two requests.
	sentAfter = 3100 * time.Millisecond
	sentGap   = 50 * time.Millisecond
	// grace is grace_s of the deployments.
	grace = 8 * time.Second
	// events and pace make a stream last 6 s, within the route's timeout of 8 s and with pauses far below its target.
	events   = 60
	pace     = 100 * time.Millisecond
	patience = 8 * time.Second
	prompt   = "X-Prompt-Prefix: 5c1e07a2:20,e4402b7d:40"
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
	if err := f.Install(stage.Configuration(7)); err != nil {
		return 0, err
	}
	for i, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w := &stage.Worker{ID: fmt.Sprint("i-lm-", i), Service: "lm", Zone: z, Version: "v1", Engine: true, Events: events, Pace: pace}
		if err := f.AddWorker(w); err != nil {
			return 0, err
		}
		a := &stage.Worker{ID: fmt.Sprint("i-app-", i), Service: "app", Zone: z, Version: "v1"}
		if err := f.AddWorker(a); err != nil {
			return 0, err
		}
	}
	if err := f.AwaitReady(); err != nil {
		return 0, err
	}
	p := f.Frontend[0]
	var conns []*stage.Conn
	for n := range clients {
		c := f.Dial(p)
		if err := first(c, n); err != nil {
			return 0, err
		}
		conns = append(conns, c)
	}
	if stage.Trouble() {
		p.Signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() {
			if p.Running() {
				p.Signal(syscall.SIGKILL)
			}
		})
	}
	time.Sleep(sentAfter)
	return judge(f, conns), nil
}

// first opens a connection with a short request.
func first(c *stage.Conn, n int) error {
	var a stage.Answer
	for range 50 {
		if a = c.Send(patience, stage.PlainPath+"1", fmt.Sprint("first", n)); a.Status == 200 && a.Err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no first answer: %d %w", a.Status, a.Err)
}

// judge sends the requests and counts those that the machine read, answered with a stream and did not answer whole.
func judge(f *stage.Fleet, conns []*stage.Conn) int {
	var g sync.WaitGroup
	answers := make([]stage.Answer, len(conns))
	for n, c := range conns {
		g.Go(func() {
			time.Sleep(time.Duration(n) * sentGap)
			answers[n] = c.Send(patience+time.Second, stage.StreamPath+"1", fmt.Sprint("stream", n),
				prompt, "X-Model: m", "X-Token-Count: 60,60", "X-Deadline-Ms: 8000")
		})
	}
	g.Wait()
	whole, refused, cut := 0, 0, 0
	for n, a := range answers {
		switch {
		case a.Status == 200 && a.Err == nil:
			whole++
		case a.Status == 200:
			cut++
			f.Record.Add("LOST", fmt.Sprint("stream", n), "was passed on to a worker and cut after", len(a.Body), "bytes:", a.Err)
		default:
			refused++
		}
	}
	s := fmt.Sprintf("%d requests: %d whole, %d refused or not read, %d cut", len(answers), whole, refused, cut)
	f.Record.Add(s)
	fmt.Println(s)
	if cut > 0 {
		return stage.Broken
	}
	return stage.Held
}
