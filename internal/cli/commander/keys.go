package commander

import (
	"flag"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/config/parser"
	"clementinerock/internal/mesh/signer"
)

const (
	certSuffix    = ".crt"
	keySuffix     = ".key"
	authorityFile = "authority"
	keyMode       = 0o600
	certMode      = 0o644
)

var keysCommand = command{
	name:     "keys",
	synopsis: "make the mesh authority or a machine's certificate",
	usage: `keys [-dir DIR] authority
keys [-dir DIR] machine NAME
Writes PEM files into DIR. A machine's certificate is signed by the authority found
there. Existing files are not replaced.`,
	flags: func(set *flag.FlagSet, o *options) {
		set.StringVar(&o.dir, "dir", ".", "directory of the files")
	},
	action: runKeys,
}

func runKeys(e *env, args []string) int {
	switch {
	case len(args) == 1 && args[0] == "authority":
		pair, err := signer.NewAuthority(time.Now())
		return e.writePair(authorityFile, pair, err)
	case len(args) == 2 && args[0] == "machine":
		if !parser.ValidName(args[1]) || args[1] == authorityFile {
			return e.failUsage("a machine's name has lower-case letters, digits and hyphens")
		}
		authority, err := readPair(filepath.Join(e.dir, authorityFile))
		if err != nil {
			return e.fail(exitFailure, err)
		}
		pair, err := signer.Issue(authority, args[1], time.Now())
		return e.writePair(args[1], pair, err)
	}
	return e.failUsage("keys takes 'authority' or 'machine NAME'")
}

// readPair reads the certificate and key whose file names start with base.
func readPair(base string) (signer.KeyPair, error) {
	certificate, err := os.ReadFile(base + certSuffix)
	if err != nil {
		return signer.KeyPair{}, merry.Prepend(err, "read certificate")
	}
	key, err := os.ReadFile(base + keySuffix)
	return signer.KeyPair{Certificate: certificate, Key: key}, merry.Prepend(err, "read key")
}

// writePair writes a key pair into two new files and returns the exit code. If err is not nil, it
// prints err instead.
func (e *env) writePair(name string, pair signer.KeyPair, err error) int {
	if err != nil {
		return e.fail(exitFailure, err)
	}
	base := filepath.Join(e.dir, name)
	if err := writeNew(base+keySuffix, pair.Key, keyMode); err != nil {
		return e.fail(exitFailure, err)
	}
	if err := writeNew(base+certSuffix, pair.Certificate, certMode); err != nil {
		return e.fail(exitFailure, err)
	}
	e.printf("wrote %s and %s", base+certSuffix, base+keySuffix)
	return exitOK
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode)
	if err != nil {
		return merry.Prepend(err, "write key or certificate")
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return merry.Prepend(err, "write key or certificate")
}
