package activitypub

import (
	"crypto"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
)

// KeyFileError is returned for a file without a usable key.
type KeyFileError struct {
	File string
	Err  error
}

// Error names the file and the cause.
func (e *KeyFileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyFileError) Unwrap() error { return e.Err }

// Causes of a KeyFileError, in addition to errors of package x509.
var (
	errNotSigner  = errors.New("the private key can't sign")
	errNoPEMBlock = errors.New("no PEM block")
)

// ReadKey reads a private key (PKCS #8 or PKCS #1) from a PEM file. Its error is a *KeyFileError or from reading the file.
func ReadKey(file string) (crypto.Signer, error) {
	block, err := readPEM(file)
	if err != nil {
		return nil, err
	}
	if key, pkcs1Err := x509.ParsePKCS1PrivateKey(block); pkcs1Err == nil {
		return key, nil
	}
	key, err := x509.ParsePKCS8PrivateKey(block)
	if err != nil {
		return nil, &KeyFileError{file, err}
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, &KeyFileError{file, errNotSigner}
	}
	return signer, nil
}

// ReadPublicKey reads a public key (PKIX) from a PEM file. Its error is a *KeyFileError or from reading the file.
func ReadPublicKey(file string) (crypto.PublicKey, error) {
	block, err := readPEM(file)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKIXPublicKey(block)
	if err != nil {
		return nil, &KeyFileError{file, err}
	}
	return key, nil
}

// readPEM returns the content of the first PEM block of a file.
func readPEM(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, &KeyFileError{file, errNoPEMBlock}
	}
	return block.Bytes, nil
}

// rsaBits is the size of new RSA keys.
const rsaBits = 2048

// MakeKey writes a new private key (RSA, PKCS #8) to file, readable only by its owner, and the public key to file.pub. If either file
// exists, MakeKey fails and writes neither.
func MakeKey(file string) error {
	key, err := rsa.GenerateKey(rand.Reader, rsaBits)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	public, err := publicPEM(key)
	if err != nil {
		return err
	}
	if err := writeNew(file, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600); err != nil {
		return err
	}
	if err := writeNew(file+".pub", public, 0o644); err != nil {
		return errors.Join(err, os.Remove(file)) // a private key without its public key is useless
	}
	return nil
}

// publicPEM returns the public key of a private key as PEM.
func publicPEM(key crypto.Signer) ([]byte, error) {
	encoded, err := x509.MarshalPKIXPublicKey(key.Public())
	return pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: encoded}), err
}

// writeNew writes a file. It fails if the file exists.
func writeNew(file string, text []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}
