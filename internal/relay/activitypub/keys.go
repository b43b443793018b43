package activitypub

import (
	"crypto"
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
)

// ReadKey reads a private key from a PEM file, PKCS #8 or PKCS #1.
func ReadKey(file string) (crypto.Signer, error) {
	block, err := readPEM(file)
	if err != nil {
		return nil, err
	}
	if k, pkcs1Err := x509.ParsePKCS1PrivateKey(block); pkcs1Err == nil {
		return k, nil
	}
	k, err := x509.ParsePKCS8PrivateKey(block)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s, ok := k.(crypto.Signer)
	if !ok {
		return nil, fmt.Errorf("%s: not a key that signs", file)
	}
	return s, nil
}

// ReadPublicKey reads a public key from a PEM file.
func ReadPublicKey(file string) (crypto.PublicKey, error) {
	block, err := readPEM(file)
	if err != nil {
		return nil, err
	}
	k, err := x509.ParsePKIXPublicKey(block)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return k, nil
}

func readPEM(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, errors.New(file + ": no PEM block")
	}
	return block.Bytes, nil
}

// MakeKey writes a new private key to file and its public half to file.pub. Neither may exist.
func MakeKey(file string) error {
	key, err := rsa.GenerateKey(rand.Reader, 2048)
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
	return writeNew(file+".pub", public, 0o644)
}

func publicPEM(key crypto.Signer) ([]byte, error) {
	b, err := x509.MarshalPKIXPublicKey(key.Public())
	return pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: b}), err
}

func writeNew(file string, text []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}
