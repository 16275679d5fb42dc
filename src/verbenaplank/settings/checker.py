"""Loading of settings files; all faults in a file are reported at once."""

from __future__ import annotations

import tomllib
from functools import cache
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from typing import get_args

import attrs
import cattrs
from attrs import validators
from cattrs.errors import ClassValidationError
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.errors import IterableValidationError

from verbenaplank.outcome.finding import Finding
from verbenaplank.settings.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

Settings = TypeVar("Settings")


def load_settings(path: Path, settings_type: type[Settings]) -> Settings:
    """Return the settings in a TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read or has faults; the error lists all of them.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError((Finding(str(path), str(error)),)) from error
    return check_settings(document, settings_type, str(path))


def check_settings(
    document: dict[str, object], settings_type: type[Settings], place: str
) -> Settings:
    """Return the settings in a parsed document.

    Parameters
    ----------
    place
        Name of the document in findings, such as its path.

    Raises
    ------
    SettingsError
        If the document has faults; the error lists all of them.
    """
    findings = list(_validator_findings(document, settings_type, place, ""))
    try:
        with validators.disabled():
            settings = _strict_converter().structure(document, settings_type)
    except (ClassValidationError, IterableValidationError) as error:
        findings.extend(_conversion_findings(error, place, ""))
    if findings:
        raise SettingsError(tuple(findings))
    return settings


def _validator_findings(
    document: object, settings_type: Any, place: str, key: str
) -> Iterator[Finding]:
    """Yield the faults that the validators of the fields find.

    Building an ``attrs`` object runs no validator if a field has the wrong type,
    and stops at the first that fails.  Validators are therefore disabled in the
    converter and run here, also for tables with other faults.
    """
    if not isinstance(document, dict):
        return
    for field in attrs.fields(attrs.resolve_types(settings_type)):
        if field.name not in document:
            continue
        value = document[field.name]
        yield from _field_validator_findings(
            value, field, place, _join_key(key, field.name)
        )


def _field_validator_findings(
    value: object, field: attrs.Attribute[Any], place: str, key: str
) -> Iterator[Finding]:
    nested = _nested_attrs_class(field.type)
    if nested is not None and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _validator_findings(item, nested, place, f"{key}[{index}]")
    elif nested is not None:
        yield from _validator_findings(value, nested, place, key)
    if field.validator is None:
        return
    try:
        field.validator(None, field, value)
    except ValueError as error:
        yield Finding(f"{place}: {key}", _error_message(error))
    except TypeError:
        return  # The converter reports values of a wrong type.


def _nested_attrs_class(annotation: Any) -> Any:
    """Return the ``attrs`` class in a type annotation, or ``None``."""
    if attrs.has(annotation):
        return annotation
    return next(filter(attrs.has, get_args(annotation)), None)


@cache
def _strict_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for primitive in (str, int, float, bool):
        converter.register_structure_hook(primitive, _check_primitive)
    return converter


def _check_primitive(value: object, primitive: type) -> object:
    if primitive is float and type(value) is int:
        return float(value)
    if type(value) is not primitive:
        expected = primitive.__name__
        raise TypeError(f"expected {expected}, got {type(value).__name__}")
    return value


def _conversion_findings(
    error: BaseException, place: str, key: str
) -> Iterator[Finding]:
    if isinstance(error, ClassValidationError):
        yield from _class_conversion_findings(error, place, key)
    elif isinstance(error, IterableValidationError):
        yield from _item_conversion_findings(error, place, key)
    elif isinstance(error, ForbiddenExtraKeysError):
        for extra in sorted(error.extra_fields):
            yield Finding(f"{place}: {_join_key(key, extra)}", "unknown key")
    elif isinstance(error, KeyError):
        yield Finding(f"{place}: {_join_key(key, str(error.args[0]))}", "missing")
    else:
        yield Finding(f"{place}: {key}", _error_message(error))


def _class_conversion_findings(
    error: ClassValidationError, place: str, key: str
) -> Iterator[Finding]:
    noted, others = error.group_exceptions()
    for exception, note in noted:
        missing = isinstance(exception, KeyError)
        yield from _conversion_findings(
            exception, place, key if missing else _join_key(key, note.name)
        )
    for exception in others:
        yield from _conversion_findings(exception, place, key)


def _item_conversion_findings(
    error: IterableValidationError, place: str, key: str
) -> Iterator[Finding]:
    noted, others = error.group_exceptions()
    for exception, note in noted:
        yield from _conversion_findings(exception, place, f"{key}[{note.index}]")
    for exception in others:
        yield from _conversion_findings(exception, place, key)


def _error_message(error: BaseException) -> str:
    return str(error.args[0]) if error.args else type(error).__name__


def _join_key(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name
