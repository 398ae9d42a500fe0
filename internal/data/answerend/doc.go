// Package answerend names how the body of an upstream's answer ended.
package answerend
