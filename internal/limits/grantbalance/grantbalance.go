package grantbalance

// Balance is the state of one grant as the host that holds it reports it to the owner.
type Balance struct {
	// Grant is the grant's number.
	Grant uint64
	// Left is the number of units that the host can still spend.
	Left int64
	// Returned is the number of units returned to the owner so far.
	Returned int64
}
