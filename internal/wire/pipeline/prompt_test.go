package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/limits/drain"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// blockAll blocks every call that has something in common with others.
type blockAll struct{}

func (blockAll) Blocks(c *call.Call) bool { return len(c.Traits()) > 0 }

// lastRecord keeps the record of the last call.
type lastRecord struct {
	record callrecord.Record
}

func (l *lastRecord) Record(r callrecord.Record) { l.record = r }

// TestQuarantinedPromptIsRefusedAtOnce guards against calls that wait, or spend their team's rate, only to be refused.
func TestQuarantinedPromptIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c := &configuration.Configuration{Routes: map[string]route.Route{"r": {Prefix: "/a/", Service: "s", Open: true}}}
	l := &lastRecord{}
	p := &Pipeline{
		Configuration: func() *configuration.Configuration { return c },
		Guard:         blockAll{},
		Drain:         &drain.Drain{},
		Recorder:      l,
		Timer:         timer.NewService(),
	}
	_, err := p.Online(t.Context(), "", &call.Call{ID: "c", Path: "/a/1", Parts: []uint64{1}, Arrived: time.Now()})
	f := refusal.Of(err)
	is.Equal(f.Code, refusal.CodeCrashingPrompt)
	is.Equal(f.Status, 503)
	is.Equal(f.Verdict, verdict.NotRun)
	is.Equal(f.RetryAfter, time.Minute) // a caller stops rather than comes back
	is.Equal(l.record.Attempts, 0)
}
