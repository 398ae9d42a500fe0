// Package proposal brings commands and questions to the leader of a replica group.
package proposal
