"""Find the account of a request by its key, and tell the target which account it is."""

from enum import StrEnum

from result import Err, Ok, Result

from comfreyhitch.accounts.models import Account, Accounts, find_account_by_key
from comfreyhitch.core.verdicts import Headers

AUTHORIZATION_FIELD = "authorization"
SCHEME = "bearer"
# Characters of header names that CGI and WSGI servers may replace, mapped to a hyphen.
_HYPHEN_BY_CHARACTER = {code: "-" for code in range(128) if not chr(code).isalnum()}


class KeyFault(StrEnum):
    """Name why the key of a request is refused."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"


def authenticate(accounts: Accounts, headers: Headers) -> Result[Account, KeyFault]:
    """Return the account whose key a request carries, or why the request is refused."""
    values = [value for name, value in headers if _normalize_name(name) == AUTHORIZATION_FIELD]
    if not values:
        return Err(KeyFault.MISSING)
    # A target or proxy might read another one of several values than this daemon.
    if len(values) > 1:
        return Err(KeyFault.MALFORMED)
    scheme, _, credentials = values[0].strip(" \t").partition(" ")
    key = credentials.strip(" ")
    if scheme.lower() != SCHEME or not key:
        return Err(KeyFault.MALFORMED)
    # Header values are decoded as Latin-1, so this restores the bytes that the caller sent.
    account = find_account_by_key(accounts, key.encode("latin-1"))
    return Err(KeyFault.UNKNOWN) if account is None else Ok(account)


def replace_credentials(headers: Headers, account: Account | None, account_header: str) -> Headers:
    """Return the headers for the target, with the name of the account in place of the key.

    The caller's own value of `account_header` is dropped in any case.
    """
    dropped = {AUTHORIZATION_FIELD, account_header.lower()}
    kept = [item for item in headers if _normalize_name(item[0]) not in dropped]
    if account is not None:
        # Headers are sent as Latin-1, so that the target gets the bytes of the name in UTF-8.
        kept.append((account_header, account.name.encode().decode("latin-1")))
    return kept


def _normalize_name(name: str) -> str:
    """Return a header name as targets compare it.

    Many read an underscore as a hyphen, and some any character but letters and digits.
    """
    return name.lower().translate(_HYPHEN_BY_CHARACTER)
