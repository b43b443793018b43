package activitypub

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"mastusher/internal/relay/httpwire"
)

// keyring maps key ids to public keys.
type keyring map[string]crypto.PublicKey

// signedHeaders are the headers that a signature must cover.
var signedHeaders = []string{"(request-target)", "host", "date", "digest"}

// Signer signs requests as is usual on the Fediverse: by draft-cavage-http-signatures-12, over the request target, host, date and digest,
// with RSA (PKCS #1 v1.5, SHA-256) or Ed25519 keys.
type Signer struct {
	KeyID string // id by which the receiver finds the public key
	Key   crypto.Signer
}

// Headers returns the headers of a signed request without Host and Content-Length, names and values alternating.
func (s *Signer) Headers(method, host, path string, body []byte, now time.Time) ([]string, error) {
	date, digest := now.UTC().Format(http.TimeFormat), digestOf(body)
	text := signingText(signedHeaders, func(name string) string {
		switch name {
		case "host":
			return host
		case "date":
			return date
		case "digest":
			return digest
		}
		return strings.ToLower(method) + " " + path
	})
	var signature []byte
	var err error
	algorithm := "rsa-sha256"
	if _, ok := s.Key.(ed25519.PrivateKey); ok {
		algorithm = "hs2019"
		signature, err = s.Key.Sign(rand.Reader, []byte(text), crypto.Hash(0))
	} else {
		sum := sha256.Sum256([]byte(text))
		signature, err = s.Key.Sign(rand.Reader, sum[:], crypto.SHA256)
	}
	if err != nil {
		return nil, fmt.Errorf("activitypub: signing: %w", err)
	}
	return []string{"Date", date, "Digest", digest, "Content-Type", contentType, "Signature",
		fmt.Sprintf(`keyId="%s",algorithm="%s",headers="%s",signature="%s"`, s.KeyID, algorithm,
			strings.Join(signedHeaders, " "), base64.StdEncoding.EncodeToString(signature))}, nil
}

// digestOf returns the value of the Digest header for a body.
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "SHA-256=" + base64.StdEncoding.EncodeToString(sum[:])
}

// signingText returns the text to sign: a line for each header, with its name and value(name).
func signingText(names []string, value func(name string) string) string {
	fields := make([]string, len(names))
	for i, name := range names {
		fields[i] = name + ": " + value(name)
	}
	return strings.Join(fields, "\n")
}

// RequestError tells why a request is not accepted.
type RequestError struct {
	Status int    // HTTP status of the answer
	Reason string // body of the answer
}

// Error returns the reason.
func (r *RequestError) Error() string { return r.Reason }

// Verify checks that a request is signed with the key that its signature names, that the signature covers signedHeaders, that the Date
// header is within skew of now, and that the Digest header is that of the body. It returns the key's id, or a *RequestError.
func Verify(request *httpwire.Request, keys keyring, now time.Time, skew time.Duration) (string, error) {
	header := request.Header.Get("Signature")
	if header == "" {
		return "", &RequestError{401, "the request is not signed"}
	}
	parameters := params(header)
	keyID := parameters["keyId"]
	key := keys[keyID]
	if key == nil {
		return "", &RequestError{401, "the signature's key is not known"}
	}
	names := strings.Fields(strings.ToLower(parameters["headers"]))
	for _, want := range signedHeaders {
		if !slices.Contains(names, want) {
			return "", &RequestError{401, "the signature does not cover " + want}
		}
	}
	date, err := http.ParseTime(request.Header.Get("Date"))
	if err != nil {
		return "", &RequestError{401, "the date is missing or can't be read"}
	}
	if age := now.Sub(date); age > skew || age < -skew {
		return "", &RequestError{401, "the date is too far from this relay's clock"}
	}
	digest := []byte(digestOf(request.Body))
	if subtle.ConstantTimeCompare(digest, []byte(request.Header.Get("Digest"))) != 1 {
		return "", &RequestError{400, "the digest is not that of the body"}
	}
	text := signingText(names, func(name string) string {
		if name == "(request-target)" {
			return strings.ToLower(request.Method) + " " + request.Path
		}
		return strings.Join(request.Header.Values(name), ", ")
	})
	signature, err := base64.StdEncoding.DecodeString(parameters["signature"])
	if err != nil || !signed(key, parameters["algorithm"], []byte(text), signature) {
		return "", &RequestError{401, "the signature is wrong"}
	}
	return keyID, nil
}

// signed reports whether signature is a valid signature of text. The type of the key determines the algorithm, and a stated algorithm must
// match it.
func signed(key crypto.PublicKey, algorithm string, text, signature []byte) bool {
	switch key := key.(type) {
	case *rsa.PublicKey:
		sum := sha256.Sum256(text)
		return (algorithm == "" || algorithm == "hs2019" || algorithm == "rsa-sha256") &&
			rsa.VerifyPKCS1v15(key, crypto.SHA256, sum[:], signature) == nil
	case ed25519.PublicKey:
		return (algorithm == "" || algorithm == "hs2019" || algorithm == "ed25519") && ed25519.Verify(key, text, signature)
	}
	return false
}

// params parses the name="value" pairs of a Signature header. It ignores everything from the first malformed pair on.
func params(header string) map[string]string {
	all := map[string]string{}
	for header != "" {
		name, rest, ok := strings.Cut(header, `="`)
		if !ok {
			break
		}
		value, after, ok := strings.Cut(rest, `"`)
		if !ok {
			break
		}
		all[strings.Trim(name, ", ")] = value
		header = after
	}
	return all
}
