package matcher

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// Account is a client account, whose requests carry one of its keys.
type Account struct {
	_ struct{} `cbor:",toarray"`

	Name     string
	Digests  [][]byte // SHA-256 digests of the keys
	Rate     float64  // usage cap in requests per second over all nodes; 0 means no limit
	Burst    float64  // requests above Rate that are accepted at once
	Priority *int     // replaces the priority of the route; nil for none
}

// AccountByKey returns the account that holds a key, or nil if none does. The key is looked up by its
// digest, so that the time taken does not depend on how much of another key it matches.
func (t *Table) AccountByKey(key []byte) *Account {
	digest := sha256.Sum256(key)
	return t.accountsByKey[string(digest[:])]
}

// AccountByName returns the account with a name, or nil if there is none.
func (t *Table) AccountByName(name string) *Account {
	i, found := slices.BinarySearchFunc(t.Accounts, name, func(a Account, name string) int {
		return strings.Compare(a.Name, name)
	})
	if !found {
		return nil
	}
	return &t.Accounts[i]
}

// indexAccounts builds the index that AccountByKey uses.
func (t *Table) indexAccounts() {
	t.accountsByKey = make(map[string]*Account, len(t.Accounts))
	for i := range t.Accounts {
		for _, digest := range t.Accounts[i].Digests {
			t.accountsByKey[string(digest)] = &t.Accounts[i]
		}
	}
}

// setAccounts sets the accounts to those of base with the changes of the update.
func (t *Table) setAccounts(base *Table, u *Update) {
	if len(u.Accounts) == 0 && len(u.RemovedAccounts) == 0 {
		t.Accounts, t.accountsByKey = base.Accounts, base.accountsByKey
		return
	}
	for i := range base.Accounts {
		name := base.Accounts[i].Name
		changed := slices.ContainsFunc(u.Accounts, func(a Account) bool { return a.Name == name })
		if !changed && !slices.Contains(u.RemovedAccounts, name) {
			t.Accounts = append(t.Accounts, base.Accounts[i])
		}
	}
	t.Accounts = append(t.Accounts, u.Accounts...)
	slices.SortFunc(t.Accounts, func(a, b Account) int { return strings.Compare(a.Name, b.Name) })
	t.indexAccounts()
}

// accountsSince sets the accounts of an update to those that differ from base, which may be nil.
func (u *Update) accountsSince(t, base *Table) {
	before := make(map[string]uint64)
	if base != nil {
		for i := range base.Accounts {
			before[base.Accounts[i].Name] = hash(&base.Accounts[i])
		}
	}
	for i := range t.Accounts {
		account := &t.Accounts[i]
		if old, ok := before[account.Name]; !ok || old != hash(account) {
			u.Accounts = append(u.Accounts, *account)
		}
		delete(before, account.Name)
	}
	for name := range before {
		u.RemovedAccounts = append(u.RemovedAccounts, name)
	}
}
