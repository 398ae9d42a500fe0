package verdict

import "github.com/cockroachdb/errors"

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// NotRun means that the request has not run: no upstream has received a byte of it, or each that did answered that it
	// did not run it.
	NotRun Verdict = iota
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun
	// Ran means that the request ran and its outcome is known.
	Ran
)

var names = [...]string{"not-run", "may-have-run", "ran"}

// String returns the name used in headers, logs and reports, or unknown for an invalid verdict.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// MarshalText implements encoding.TextMarshaler.MarshalText.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.UnmarshalText. It fails for an unknown name.
func (v *Verdict) UnmarshalText(b []byte) error {
	for i, n := range names {
		if n == string(b) {
			*v = Verdict(i)
			return nil
		}
	}
	return errors.Newf("verdict: unknown name %q", b)
}

// Worse returns the less certain of two verdicts: MayHaveRun over Ran, and Ran over NotRun.
func Worse(a, b Verdict) Verdict {
	if a == MayHaveRun || b == MayHaveRun {
		return MayHaveRun
	}
	return max(a, b)
}
