"""The keys of the settings object correspond one to one to fields, and invalid values raise an error with the key."""

import json
from pathlib import Path

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import CLASS_FIELDS, FIELDS, SEMANTICS, SettingsError, settings_from

EXAMPLE = Path(__file__).parents[2] / "examples/config.json"
DECODED_SEPARATELY = {"classes", "tenants", "must_subscribe", "load_report_fields"}
CLASS_DECODED_SEPARATELY = {"name", "semantics", "deduplication_scope", "stream", "machine_type"}


def settings_object(**changes):
    return {**json.loads(EXAMPLE.read_text())["settings"], **changes}


def decode(settings):
    return settings_from(json.dumps(settings).encode())


def test_settings_fields_and_keys_correspond_one_to_one():
    names = [field.name for field in FIELDS if field.name is not None]
    assert sorted([*names, *DECODED_SEPARATELY]) == sorted(interface.Settings._fields)
    assert len({(field.section, field.key) for field in FIELDS}) == len(FIELDS)


def test_class_fields_and_keys_correspond_one_to_one():
    names = [field.name for field in CLASS_FIELDS]
    assert sorted([*names, *CLASS_DECODED_SEPARATELY]) == sorted(interface.RequestClass._fields)
    assert len({field.key for field in CLASS_FIELDS}) == len(CLASS_FIELDS)


def test_each_retry_semantics_has_exactly_one_name():
    assert sorted(SEMANTICS.values()) == sorted(interface.RetrySemantics)


@pytest.mark.parametrize("field", [field for field in FIELDS if field.name], ids=lambda field: field.key)
def test_a_value_is_decoded_into_its_field(field):
    value = True if field.kind is bool else field.kind(1)
    settings = settings_object(siblings=2)
    section = settings.setdefault(field.section, {}) if field.section else settings
    section[field.key] = value
    assert getattr(decode(settings), field.name) == value


@pytest.mark.parametrize("number", ["1e400", "-1e400"])
def test_an_infinite_machine_type_raises_a_settings_error(number):
    settings = json.dumps(settings_object(familyInfo={"classKind": ["INFINITE"]})).replace('"INFINITE"', number)
    with pytest.raises(SettingsError, match="cannot be read"):
        settings_from(settings.encode())
