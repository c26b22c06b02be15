"""`[tenants]` in the operator's file: each mistake, and what the balancer is told."""

from __future__ import annotations

import importlib.util
from typing import Any

import pytest

from lanelift.config.checked import FileValidationError, read_text
from lanelift.config.operator import OperatorFile
from lanelift.policy.settings import UnknownTenants
from lanelift.settings import SettingsError
from lanelift.tenants.sync_config import SyncConfig
from lanelift.tenants.sync_process import TenantSource
from tests.config.test_checked import only_mistake

GOOD = """
[serve]
listen = "127.0.0.1:8000"
[[class]]
name = "quote"
[[tenant]]
name = "Miami  Desk"
[[upstream]]
name = "box-1"
address = "127.0.0.1:9001"
[tenants]
base = "ou=agents"
filter = "(&(objectClass=agent)(!(cn=x)))"
[tenants.map]
standing = "agentStanding"
suspended = ["Blocked", "off"]
[[tenants.directory]]
url = "ldaps://[::1]:636"
[[tenants.directory]]
url = "ldap://ldap-2.example:389"
user = "cn=x"
password_file = "/x"
"""
# What takes the place of which line, and what is said of it.
MISTAKES = [
    ('base = "ou=agents"', "", "tenants.base: missing"),
    ('base = "ou=agents"', 'base = "x"\nevery = 1', "tenants.every: unknown key; did you mean every_s?"),
    (
        'base = "ou=agents"',
        'base = "x"\nunknown = "drop"',
        "tenants.unknown: found \"drop\"; allowed: 'share'",
    ),
    ('base = "ou=agents"', 'base = "x"\nremoval_part = 2', "tenants.removal_part: found 2; allowed"),
    ('base = "ou=agents"', 'base = "x"\nconfirm = ["x"]', 'tenants.confirm[0]: found "x"; allowed: marks'),
    ('"(&(objectClass=agent)(!(cn=x)))"', '"(a=b"', 'tenants.filter: found "(a=b"; allowed: one filter'),
    ('"(&(objectClass=agent)(!(cn=x)))"', '"(a=b)(c=d)"', "tenants.filter"),
    ('"(&(objectClass=agent)(!(cn=x)))"', '"a=b"', "tenants.filter"),
    ('standing = "agentStanding"', 'standing = "a b"', 'tenants.map.standing: found "a b"; allowed: an attr'),
    ('standing = "agentStanding"', 'name = ""', "tenants.map.name"),
    ('["Blocked", "off"]', '["ACTIVE"]', "tenants.map.good: found active; allowed: words that are not among"),
    ('"ldaps://[::1]:636"', '"https://x:1"', "tenants.directory[0].url"),
    ('"ldaps://[::1]:636"', '"ldaps://x"', "tenants.directory[0].url"),
    ('"ldaps://[::1]:636"', '"ldaps://x:0"', "tenants.directory[0].url"),
    (
        'url = "ldaps://[::1]:636"',
        'url = "ldaps://x:636"\ntls = "off"',
        'tenants.directory[0].tls: found "off"; allowed: "verify"',
    ),
    ('user = "cn=x"', "", "tenants.directory[1].user: missing; password_file is set"),
    ('password_file = "/x"', "", "tenants.directory[1].password_file: missing; user is set"),
    ('password_file = "/x"', 'password_file = "/x"\ntls = "yes"', "tenants.directory[1].tls"),
    (
        'listen = "127.0.0.1:8000"',
        'listen = "127.0.0.1:8000"\nnumber = 1',
        "serve.number: found 1; allowed: u",
    ),
]


@pytest.mark.parametrize(("line", "instead", "said"), MISTAKES)
def test_each_mistake_is_named(line: str, instead: str, said: str) -> None:
    """`[tenants]` has a line that is wrong. The problem is named with its place."""
    only_mistake(GOOD, line, instead, said)


@pytest.mark.parametrize("raw", ["tenants = 3", "tenants = []", "[tenants]\nmap = 3\ndirectory = 5"])
def test_whatever_stands_there_is_refused(raw: str) -> None:
    """`tenants` in the file is no table. That is a problem of the file, and no crash."""
    text = raw + "\n" + GOOD[: GOOD.index("[tenants]")] if "=" in raw.split("\n")[0] else ""
    text = text or GOOD[: GOOD.index("[tenants]")] + raw
    with pytest.raises(FileValidationError, match="tenants"):
        read_text(text, OperatorFile, "f.toml")


def told(text: str) -> Any:
    return read_text(text, OperatorFile, "f.toml").config()


def test_what_the_balancer_is_told() -> None:
    config = told(GOOD)
    source = config.tenants
    assert isinstance(source, TenantSource)
    first, second = source.config.directories
    assert (first.host, first.port, first.tls, first.verify) == ("::1", 636, "ldaps", True)
    assert (second.host, second.tls, second.user) == ("ldap-2.example", "starttls", "cn=x")
    assert source.config.map.suspended == {"blocked", "off"}
    assert source.unknown_tenants is UnknownTenants.SHARE and source.wait_s == 0
    assert config.settings.tenants.keys() == {"miami desk"} == source.settings.keys()
    assert SyncConfig.from_json(source.config.to_json()) == source.config


@pytest.mark.parametrize(
    ("url", "tls", "how"),
    [
        ("ldap://a:1", "off", "none"),
        ("ldap://a:1", "unverified", "starttls"),
        ("ldaps://a:1", "unverified", "ldaps"),
    ],
)
def test_tls(url: str, tls: str, how: str) -> None:
    changed = GOOD.replace('url = "ldaps://[::1]:636"', f'url = "{url}"\ntls = "{tls}"')
    first = told(changed).tenants.config.directories[0]
    assert (first.tls, first.verify) == (how, False)


def test_without_the_client_library_that_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    """The file asks for directories, and the LDAP client is not installed. The message says how to install
    it.
    """
    monkeypatch.setattr(importlib.util, "find_spec", lambda name: None)
    with pytest.raises(SettingsError, match=r"pip install 'lanelift\[tenants\]'"):
        told(GOOD)


def test_without_directories_nothing_changes() -> None:
    config = told(GOOD[: GOOD.index("[tenants]")])
    assert config.tenants is None and config.settings.tenants.keys() == {"Miami  Desk"}
