// Package streamend judges whether a stream of events is whole once the answer that holds its last part has ended.
package streamend
