package replica

// InjectFault breaks the algorithm on purpose; the invariant checks must detect it.
func (r *Replica) InjectFault(fault string) {
	r.faults = injectedFaults{
		sendEarly:        fault == "send before the disk has it",
		skipLogCheck:     fault == "vote without comparing logs",
		leaseFromArrival: fault == "lease from the arrival of answers",
		commitOldTerm:    fault == "commit an earlier term by counting",
		forgetVote:       fault == "vote twice in a term",
		readUnconfirmed:  fault == "read without asking a quorum",
	}
}

// LimitEntries limits the number of entries in a message.
func (r *Replica) LimitEntries(entries int) {
	r.maxEntries = entries
}
