package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	// maxPartCrashes is the most upstreams that may end, before their answers' headers, under a part of a prompt.
	maxPartCrashes = 12
	partTime       = 10 * time.Second
)

// TestPromptThatCrashesUpstreamsBeforeHeadersIsStopped guards against ends that count as one for coming in quick succession.
func TestPromptThatCrashesUpstreamsBeforeHeadersIsStopped(t *testing.T) {
	is := is.NewRelaxed(t)
	part := plainRequest{prompt: deadlyPart}
	f := newPlainFleet(t, plainHosts, plainWorkers, part)
	ask := func(name string, every time.Duration, burst int, prompt string) *plainTraffic {
		return &plainTraffic{
			fleet: f, name: name, every: every, burst: burst, again: burst > 0, random: rand.New(rand.NewPCG(33, uint64(burst))),
			request: func(n int) plainRequest {
				return plainRequest{http.MethodPost, "/look/ask", fmt.Sprint("team", n%3), fmt.Sprint(name, n), fmt.Sprintf(prompt, n%5, n)}
			},
		}
	}
	sound := []*plainTraffic{ask("sound", soundEvery/4, 0, "caller:100,topic%d:50,s%d:10")}
	deadly := ask("deadly", deadlyEvery, deadlyBurst, "caller:100,"+deadlyPart+":7,topic%d:50,d%d:10")
	traffic, stop := context.WithCancel(f.context)
	g := group.NewGroup(traffic)
	g.Go("sound", sound[0].run)
	is.NoErr(f.timer.Sleep(f.context, time.Second))
	begin := f.timer.Now()
	g.Go("deadly", deadly.run)
	is.NoErr(f.timer.Sleep(f.context, partTime))
	stop()
	_ = g.Wait()
	is.NoErr(f.timer.Sleep(f.context, time.Second))

	meanwhile := f.served(sound, func(at time.Time) bool { return !at.Before(begin) })
	after := f.served(sound, func(at time.Time) bool { return at.After(begin.Add(2 * learning)) })
	c := f.deadly[part]
	untrue := f.untrue()
	t.Logf("%d ended, %d sends, %d of them late; %.3f of the sound requests served meanwhile, %.3f after; %d of %d refused ones reached a worker",
		c.count(), c.sent(), c.lateAfter(crashesBorne), meanwhile, after, untrue, len(f.refused))
	is.True(c.count() >= requestCrashesBorne)
	is.True(c.count() <= maxPartCrashes)
	is.True(c.lateAfter(crashesBorne) <= maxLateSends)
	is.True(after >= minServed)
	is.Equal(untrue, 0)
}
