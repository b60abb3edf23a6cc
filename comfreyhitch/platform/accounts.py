"""Validate the client accounts in a configuration."""

import unicodedata
from typing import Annotated

from msgspec import Meta, Struct, field
from result import Err, Ok, Result

from comfreyhitch.accounts.models import Account, Accounts

# Daemons send the priority to each other as a signed 32-bit integer.
MAX_PRIORITY = 2**31 - 1
# Categories of characters that can't be part of a header value: control characters and surrogates.
_REFUSED_CATEGORIES = frozenset({"Cc", "Cs"})


class TenantModel(Struct, frozen=True):
    """Validate one client account; `keys` may be empty, so that nobody can use the account."""

    name: Annotated[str, Meta(min_length=1, max_length=256)] = field(name="Name")
    keys: list[Annotated[str, Meta(min_length=1)]] = field(name="ApiKeys")
    # 0 is the highest priority. It takes precedence over that of the route.
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] | None = field(
        default=None, name="Priority"
    )


def make_accounts(models: list[TenantModel]) -> Result[Accounts, str]:
    """Return the accounts, or why they contradict each other; the reason contains no key."""
    index_by_name: dict[str, int] = {}
    index_by_key: dict[str, int] = {}
    for index, model in enumerate(models):
        if not _fits_header(model.name):
            detail = "must hold no control characters, and no spaces at its ends"
            return Err(f"{detail} - at `$.Tenants[{index}].Name`")
        other = index_by_name.setdefault(model.name, index)
        if other != index:
            return Err(f"is the name of `$.Tenants[{other}]` too - at `$.Tenants[{index}].Name`")
        for position, key in enumerate(model.keys):
            other = index_by_key.setdefault(key, index)
            if other != index:
                place = f"$.Tenants[{index}].ApiKeys[{position}]"
                return Err(f"is a key of `$.Tenants[{other}]` too - at `{place}`")
    return Ok(
        Accounts.from_keys(
            (Account(model.name, model.priority), [_encode_key(key) for key in model.keys])
            for model in models
        )
    )


def _fits_header(name: str) -> bool:
    """Return whether targets can receive a name unchanged in a header."""
    is_printable = not any(unicodedata.category(char) in _REFUSED_CATEGORIES for char in name)
    return is_printable and name == name.strip(" ")


def _encode_key(key: str) -> bytes:
    # Lone surrogates are valid in JSON. No caller can send them, but they must not raise here.
    return key.encode("utf-8", "surrogatepass")
