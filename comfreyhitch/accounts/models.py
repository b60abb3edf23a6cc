"""Client accounts of one version of the configuration, and the digests of their keys."""

import hmac
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import sha256

# Name that calls carry where no accounts are configured.
DEFAULT_TENANT = "default"
# Name that calls on public routes carry where accounts are configured; no account has it.
NO_ACCOUNT = ""
# Digests are looked up by this many bytes, and compared whole.
DIGEST_PREFIX_BYTES = 8


@dataclass(frozen=True, slots=True)
class Account:
    """Hold one client account; 0 is the highest priority, None leaves it to the route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class KeyEntry:
    """Hold the account that a key belongs to, and the SHA-256 digest of the key."""

    account: Account
    digest: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Accounts:
    """Hold all accounts of one version of the configuration."""

    by_name: dict[str, Account] = field(default_factory=dict)
    entries_by_prefix: dict[bytes, tuple[KeyEntry, ...]] = field(default_factory=dict, repr=False)

    @classmethod
    def from_keys(cls, keyed_accounts: Iterable[tuple[Account, Iterable[bytes]]]) -> "Accounts":
        """Return the accounts with their keys, of which only digests are kept.

        Names must be unique, and no key may belong to two accounts.
        """
        by_name: dict[str, Account] = {}
        entries_by_prefix: dict[bytes, tuple[KeyEntry, ...]] = {}
        for account, keys in keyed_accounts:
            by_name[account.name] = account
            for digest in {compute_key_digest(key) for key in keys}:
                prefix = digest[:DIGEST_PREFIX_BYTES]
                others = entries_by_prefix.get(prefix, ())
                entries_by_prefix[prefix] = (*others, KeyEntry(account, digest))
        return cls(by_name, entries_by_prefix)

    @property
    def digests(self) -> frozenset[bytes]:
        """Return the digests of all keys."""
        return frozenset(
            entry.digest for entries in self.entries_by_prefix.values() for entry in entries
        )


def compute_key_digest(key: bytes) -> bytes:
    """Return the SHA-256 digest of a key."""
    return sha256(key).digest()


def find_account_by_key(accounts: Accounts, key: bytes) -> Account | None:
    """Return the account that holds a key, or None.

    The time depends on no stored key: the lookup uses a part of the digest, from which nothing
    about a key follows, and whole digests are compared in constant time.
    """
    digest = compute_key_digest(key)
    for entry in accounts.entries_by_prefix.get(digest[:DIGEST_PREFIX_BYTES], ()):
        if hmac.compare_digest(entry.digest, digest):
            return entry.account
    return None


def is_account_name(accounts: Accounts | None, tenant: str) -> bool:
    """Return whether the tenant of a call is a client account.

    `accounts` are those in force at the daemon that asks. They matter only for an account named
    as calls are where no accounts are configured.
    """
    if tenant == DEFAULT_TENANT:
        return accounts is not None and DEFAULT_TENANT in accounts.by_name
    return tenant != NO_ACCOUNT
