package inquiry

// Inquiry weighs what connections say that are tried after one to an upstream broke. The path is to blame if the host whose
// connection it was, this one or its gateway, does not connect again and another host that is asked does; in all other cases the
// upstream is. It is not safe for concurrent use.
type Inquiry struct {
	// failed says that the new connection of the host failed or takes long, and reached that another host has connected.
	failed, reached bool
	// asked says that other hosts were asked, of which waiting have not answered.
	asked   bool
	waiting int

	decided, pathLost bool
}

// Connected records that the host has connected to the upstream again.
func (i *Inquiry) Connected() {
	i.decide(false)
}

// Failed records that the new connection of the host failed or takes long.
func (i *Inquiry) Failed() {
	i.failed = true
	i.conclude()
}

// Asked records that n other hosts were asked to connect to the upstream.
func (i *Inquiry) Asked(n int) {
	i.asked = true
	i.waiting = n
	i.conclude()
}

// Answered records whether one of the hosts that were asked has connected.
func (i *Inquiry) Answered(reached bool) {
	i.waiting--
	i.reached = i.reached || reached
	i.conclude()
}

// Expired records that nothing more is waited for.
func (i *Inquiry) Expired() {
	i.decide(false)
}

// Decided reports whether it is known which side is to blame.
func (i *Inquiry) Decided() bool {
	return i.decided
}

// PathLost reports whether the connection broke with its path.
func (i *Inquiry) PathLost() bool {
	return i.pathLost
}

// conclude decides once enough is known: the upstream is to blame if all hosts that were asked have answered and none connected.
func (i *Inquiry) conclude() {
	switch {
	case i.failed && i.reached:
		i.decide(true)
	case i.asked && i.waiting <= 0 && !i.reached:
		i.decide(false)
	}
}

// decide settles the question once.
func (i *Inquiry) decide(pathLost bool) {
	if i.decided {
		return
	}
	i.decided = true
	i.pathLost = pathLost
}
