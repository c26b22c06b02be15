"""Every name that something outside the code reads is still in the code, letter for letter.

`outside_names.txt` lists them, one a line: fields and values of messages, stored fields, keys of files and
settings, flags, variables, metrics, events of the log, and modules that another process starts by their path.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

LIST = Path(__file__).parent / "outside_names.txt"
PACKAGE = Path(__file__).parents[2] / "lanelift"
WORD = re.compile(r"[A-Za-z0-9_]+")


def literal_texts(tree: ast.AST) -> Iterator[str]:
    """Yields every string and bytes literal that is not a docstring."""
    statements = (node.value for node in ast.walk(tree) if isinstance(node, ast.Expr))
    docstrings = {id(value) for value in statements if isinstance(value, ast.Constant)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def written_names(tree: ast.AST) -> Iterator[str]:
    """Yields the names of class fields and keyword arguments, as output may contain these names."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            for statement in node.body:
                if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                    yield statement.target.id
        elif isinstance(node, ast.keyword) and node.arg is not None:
            yield node.arg


def runs_of_words(text: str) -> Iterator[str]:
    """Yields a text itself, and the words, flags, paths and compound words in it."""
    yield text
    yield from WORD.findall(text)
    yield from re.findall(r"(?:--|/)?[A-Za-z0-9_]+(?:[-/.][A-Za-z0-9_]+)*", text)


def names_in_code() -> frozenset[str]:
    """Collects words of literals, names of fields and keywords, and paths of modules."""
    found: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        found.update(written_names(tree))
        for text in literal_texts(tree):
            found.update(runs_of_words(text))
        found.add(".".join(path.relative_to(PACKAGE.parent).with_suffix("").parts))
    return frozenset(found)


def test_every_outside_name_still_stands_in_the_code() -> None:
    names = LIST.read_text(encoding="utf-8").split()
    assert len(names) > 500
    assert set(names) - names_in_code() == set()
