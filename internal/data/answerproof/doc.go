// Package answerproof names whether an answer bears a proof that its upstream made it.
package answerproof
