package accounting

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/data/callrecord"
	"siskinrun/pkg/verdict"
)

const minErrorStatus = 400

// Recorder logs and counts finished calls.
type Recorder struct {
	// Log receives one line per call.
	Log zerolog.Logger
	// Metrics holds the counts of calls by verdict and refusal code, and their latencies.
	Metrics metrics.Registry
	// Sinks receive each record and must not block.
	Sinks []func(callrecord.Record)
}

// Record logs and counts a finished call and passes its record to the sinks.
func (a *Recorder) Record(r callrecord.Record) {
	a.count(r)
	e := a.Log.Info()
	if r.Verdict == verdict.MayHaveRun || r.Status >= minErrorStatus {
		e = a.Log.Warn()
	}
	if r.Lost > 0 {
		e = e.Int("lost-unanswered", r.Lost).
			Strs("prompt-parts", hexadecimal(r.Parts)).
			Str("request-digest", strconv.FormatUint(r.Digest, 16))
	}
	if r.RateLimit.Named {
		e = e.Float64("upstream-limit", r.RateLimit.PerSecond)
	}
	if r.HeldOff > 0 {
		e = e.Int("held-off", r.HeldOff).
			Str("held-off-upstream", r.HeldBy.Upstream).
			Float64("held-off-limit", r.HeldBy.Value.PerSecond).
			Dur("held-off-limit-age-ms", r.HeldByAge).
			Str("held-off-limit-from", r.HeldBy.Host)
	}
	if r.Gateway != "" {
		e = e.Str("gateway", r.Gateway)
	}
	if r.PermitWait > 0 {
		e = e.Dur("permit-wait-ms", r.PermitWait)
	}
	e.Str("request-id", r.ID).
		Str("team", r.Team).
		Str("route", r.Route).
		Str("upstream", r.Upstream).
		Str("upstream-version", r.UpstreamVersion).
		Str("resumes", r.Resumes).
		Int("first-event", r.FirstEvent).
		Bool("batch", r.Batch).
		Int("status", r.Status).
		Str("code", r.Code).
		Str("verdict", r.Verdict.String()).
		Str("reason", r.Message).
		Uint64("configuration", r.Configuration).
		Int("attempts", r.Attempts).
		Strs("tried", r.Tried).
		Int("events", r.Events).
		Str("answer-framing", r.Framing.String()).
		Str("answer-end", r.AnswerEnd.String()).
		Int("answer-events", r.AnswerEvents).
		Str("answer-proof", r.AnswerProof.String()).
		Bool("answer-named", r.AnswerNamed).
		Bool("connection-reused", r.ConnReused).
		Dur("waited-ms", r.Waited).
		Dur("first-ms", r.FirstByte).
		Dur("total-ms", r.Total).
		Msg("call")
	for _, s := range a.Sinks {
		s(r)
	}
}

// maxLoggedParts is the maximum number of parts of a prompt in a line.
const maxLoggedParts = 16

// hexadecimal returns the hashes of parts of a prompt as they are logged.
func hexadecimal(parts []uint64) []string {
	var l []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		l = append(l, strconv.FormatUint(p, 16))
	}
	return l
}

func (a *Recorder) count(r callrecord.Record) {
	p := "online."
	if r.Batch {
		p = "batch."
	}
	metrics.GetOrRegisterCounter(p+"calls."+r.Verdict.String(), a.Metrics).Inc(1)
	if r.RateLimit.Named {
		metrics.GetOrRegisterCounter(p+"answers-with-limit", a.Metrics).Inc(1)
	}
	if r.Status >= minErrorStatus && r.Code != "" {
		metrics.GetOrRegisterCounter(p+"refusals."+r.Code, a.Metrics).Inc(1)
	}
	a.observe(p+"first", r.FirstByte)
	a.observe(p+"total", r.Total)
}

func (a *Recorder) observe(name string, d time.Duration) {
	if d > 0 {
		metrics.GetOrRegisterTimer(name, a.Metrics).Update(d)
	}
}
