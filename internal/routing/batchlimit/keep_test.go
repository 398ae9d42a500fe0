package batchlimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/batchlimit"
)

const (
	smallEngineSlots = 8
	smallEngineStep  = 3820 * time.Microsecond
	smallEngineTrace = 2 * time.Minute
	// onlineInterval is the mean time between online requests, which take a third of the slots.
	onlineInterval = 130 * time.Millisecond
	// wantedItems is the number of batch items that are wanted at a time.
	wantedItems = 3
	// firstTokenAim is the contracted time to the first token.
	firstTokenAim = 300 * time.Millisecond
)

// TestRunningItemsStayWhileSlotsAreFree plays an engine of few slots with steady short online requests, a third of its
// slots, beside batch work that fits most of the time. Online requests keep their contract whether or not running items are cancelled
// for slots that no request needs yet; cancelling them only throws work away.
func TestRunningItemsStayWhileSlotsAreFree(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(7, 1))
	var trace []arrival
	for at := time.Duration(0); at < smallEngineTrace; at += time.Duration(r.ExpFloat64() * float64(onlineInterval)) {
		trace = append(trace, arrival{at, 450, 77, r.IntN(20) == 0})
	}
	run := func(keeps bool) *simulation {
		l := batchlimit.NewLimiter()
		l.SetEngine("e", smallEngineSlots, start)
		b := newSimulation(l, 3)
		b.engine.Slots = smallEngineSlots
		b.engine.StepBase = smallEngineStep
		b.engine.StepPromptToken = 15 * time.Microsecond
		b.keeps = keeps
		b.demand = wantedItems
		b.run(trace, smallEngineTrace)
		t.Logf("keeps=%v: p99 %.0f ms, %d tokens, %d items, %d cancels", keeps,
			milliseconds(quantile(b.firstTokens, .99)), b.tokens, b.completed, b.cancels)
		return b
	}
	window, keep := run(false), run(true)
	is.True(quantile(keep.firstTokens, .99) <= firstTokenAim)
	is.True(quantile(window.firstTokens, .99) <= firstTokenAim)
	is.True(keep.cancels < window.cancels*2/3)
	is.True(keep.tokens >= window.tokens)
}
