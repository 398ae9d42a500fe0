package signal_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/signal"
)

func TestSignalIsReceivedOnce(t *testing.T) {
	is := is.New(t)
	s := signal.NewSignal()
	is.Equal(len(s), 0)
	s.Set()
	s.Set()
	<-s
	is.Equal(len(s), 0)
	s.Set()
	is.Equal(len(s), 1)
}
