// Package proposal sends commands and read confirmations to the leaders of replica groups.
package proposal
