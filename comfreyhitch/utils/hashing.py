"""Rendezvous hashing and fingerprints of requests."""

import hashlib
from collections.abc import Iterable
from hashlib import blake2b


def hash_text(*parts: str) -> int:
    """Return a 63-bit hash that is the same in every process."""
    digest = blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1


def rank_by_rendezvous(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of their rendezvous weight for the key."""
    return sorted(candidates, key=lambda candidate: hash_text(key, candidate), reverse=True)


def compute_fingerprint(service: str, method: str, route: str, body: bytes) -> str:
    """Return a hash that identifies the content of a request."""
    digest = hashlib.blake2b(digest_size=12)
    digest.update(f"{service}\0{method}\0{route}\0".encode())
    digest.update(body)
    return digest.hexdigest()
