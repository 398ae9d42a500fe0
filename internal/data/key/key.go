package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	secretBytes  = 32
	secretPrefix = "sk-"
)

// Key is an API key, stored only as a hash.
type Key struct {
	// ID identifies the key in logs and commands.
	ID string `json:"id"`
	// Team is the team that the key belongs to.
	Team string `json:"team"`
	// Hash is the hexadecimal SHA-256 of the secret.
	Hash string `json:"hash"`
}

// Hash returns the hexadecimal SHA-256 of a secret.
func Hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

// NewSecret returns a random secret for a new key.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b)
}
