package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
)

func TestManualServiceRunsTimersInOrder(t *testing.T) {
	is := is.New(t)
	s := timer.NewManual(time.Unix(0, 0))
	var got []string
	s.After(3*time.Second, func(time.Time) { got = append(got, "once") })
	stop := s.Every(2*time.Second, func(time.Time) { got = append(got, "every") })
	s.Advance(5 * time.Second)
	is.Equal(got, []string{"every", "once", "every"})
	stop()
	s.Advance(10 * time.Second)
	is.Equal(len(got), 3)
	is.Equal(s.Now(), time.Unix(15, 0))
}

func TestCancelledTimerDoesNotFire(t *testing.T) {
	is := is.New(t)
	s := timer.NewManual(time.Unix(0, 0))
	stop := s.After(time.Second, func(time.Time) { t.Fatal("called") })
	stop()
	stop()
	s.Advance(time.Minute)
	is.Equal(s.Now(), time.Unix(60, 0))
}

func TestServiceOnTheMachineClock(t *testing.T) {
	is := is.New(t)
	s := timer.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	c := make(chan time.Time, 1)
	s.After(time.Millisecond, func(n time.Time) { c <- n; cancel() })
	is.Equal(s.Run(ctx), context.Canceled)
	is.Equal(len(c), 1)
}
