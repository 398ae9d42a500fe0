// Package crashevidence describes what hosts tell each other of calls whose upstream was lost before it began to answer.
package crashevidence
