// Package answertime estimates how long the answers of each route take, which decides the last moment at which a call can
// still be begun.
package answertime
