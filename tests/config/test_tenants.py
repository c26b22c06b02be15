"""`[tenants]` in the operator's file: its problems, and the configuration that the balancer gets."""

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
from tests.config.test_checked import assert_only_problem

VALID = """
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
# A line of the valid file, the invalid line that replaces it, and the expected problem.
INVALID_LINES = [
    ('base = "ou=agents"', "", "tenants.base: missing"),
    ('base = "ou=agents"', 'base = "x"\nevery = 1', "tenants.every: unknown key; did you mean every_s?"),
    (
        'base = "ou=agents"',
        'base = "x"\nunknown = "drop"',
        "tenants.unknown: found \"drop\"; allowed: 'share'",
    ),
    ('base = "ou=agents"', 'base = "x"\nremoval_part = 2', "tenants.removal_part: found 2; allowed"),
    ('base = "ou=agents"', 'base = "x"\nconfirm = ["x"]', 'tenants.confirm[0]: found "x"; allowed: ids of r'),
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


@pytest.mark.parametrize(("line", "replacement", "expected"), INVALID_LINES)
def test_each_problem_is_reported_with_its_place(line: str, replacement: str, expected: str) -> None:
    """`[tenants]` has one invalid line. The problem names its place."""
    assert_only_problem(VALID, line, replacement, expected)


@pytest.mark.parametrize("raw", ["tenants = 3", "tenants = []", "[tenants]\nmap = 3\ndirectory = 5"])
def test_a_value_of_the_wrong_type_is_refused(raw: str) -> None:
    """`tenants` or a part of it has the wrong type. This is reported as a problem of the file."""
    text = raw + "\n" + VALID[: VALID.index("[tenants]")] if "=" in raw.split("\n")[0] else ""
    text = text or VALID[: VALID.index("[tenants]")] + raw
    with pytest.raises(FileValidationError, match="tenants"):
        read_text(text, OperatorFile, "f.toml")


def config_of(text: str) -> Any:
    return read_text(text, OperatorFile, "f.toml").config()


def test_the_balancers_configuration() -> None:
    config = config_of(VALID)
    source = config.tenants
    assert isinstance(source, TenantSource)
    first, second = source.config.directories
    assert (first.host, first.port, first.tls, first.verify) == ("::1", 636, "ldaps", True)
    assert (second.host, second.tls, second.user) == ("ldap-2.example", "starttls", "cn=x")
    assert source.config.map.suspended == {"blocked", "off"}
    assert source.unknown_tenants is UnknownTenants.SHARE and source.wait_s == 0
    assert config.settings.tenants.keys() == {"miami desk"} == source.configured_tenants.keys()
    assert SyncConfig.from_json(source.config.to_json()) == source.config


@pytest.mark.parametrize(
    ("url", "tls", "security"),
    [
        ("ldap://a:1", "off", "none"),
        ("ldap://a:1", "unverified", "starttls"),
        ("ldaps://a:1", "unverified", "ldaps"),
    ],
)
def test_the_url_and_the_key_tls_determine_the_security(url: str, tls: str, security: str) -> None:
    changed = VALID.replace('url = "ldaps://[::1]:636"', f'url = "{url}"\ntls = "{tls}"')
    first = config_of(changed).tenants.config.directories[0]
    assert (first.tls, first.verify) == (security, False)


def test_a_missing_client_library_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """The file has directories, but the LDAP client is not installed. The error says how to install it."""
    monkeypatch.setattr(importlib.util, "find_spec", lambda name: None)
    with pytest.raises(SettingsError, match=r"pip install 'lanelift\[tenants\]'"):
        config_of(VALID)


def test_without_directories_names_are_not_folded() -> None:
    config = config_of(VALID[: VALID.index("[tenants]")])
    assert config.tenants is None and config.settings.tenants.keys() == {"Miami  Desk"}
