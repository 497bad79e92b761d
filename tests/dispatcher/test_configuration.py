"""The start of the program, and what `check-config` prints for a valid and an invalid configuration."""

import json
import os
import subprocess
import sys

import pytest

from tests.support.loopback import SETTINGS, host


def test_start_loads_no_certificates_and_leaves_the_garbage_collector_on():
    code = (
        "import gc, sys; from badgerroad.__main__ import start; sys.argv[1:] = ['version']; start();"
        "import tornado.netutil as n; print(n._client_ssl_defaults.cert_store_stats()['x509'], gc.isenabled())"
    )
    env = {name: value for name, value in os.environ.items() if not name.startswith("SSL_CERT_")}
    process = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True)
    assert process.stdout.split("\n")[1] == "0 True", process.stderr


VALID = {
    "name": "n0",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
    "known": {"seq": 1, "whole": True, "hosts": [host("h0", 1)]},
}


def check_config(tmp_path, config, **variables):
    path = tmp_path / "c.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    env = {**os.environ, "PROXY_CONFIG": str(path), **variables}
    return subprocess.run([sys.executable, "-m", "badgerroad", "check-config"], env=env, capture_output=True, text=True)


def test_valid_configuration_is_described(tmp_path):
    process = check_config(tmp_path, VALID, PROXY_LISTEN="127.0.0.9:81")
    assert process.returncode == 0
    assert "2 classes, 1 known hosts" in process.stdout
    assert "127.0.0.9:81" in process.stdout


@pytest.mark.parametrize(
    ("config", "field"),
    [
        pytest.param("not json", "PROXY_CONFIG", id="not JSON"),
        pytest.param({**VALID, "listen": "nowhere"}, "listen", id="address without port"),
        pytest.param({**VALID, "discovery": ""}, "discovery", id="empty address"),
        pytest.param({**VALID, "seed": "xyz"}, "seed", id="seed not hexadecimal"),
        pytest.param({**VALID, "limits": {"sockets": "many"}}, "limits.sockets", id="limit not a number"),
        pytest.param({**VALID, "settings": {**SETTINGS, "siblings": 0}}, "dispatchers", id="no dispatcher"),
        pytest.param({**VALID, "settings": {**SETTINGS, "zones": 3}}, "settings.zones", id="zones not a list"),
        pytest.param({**VALID, "settings": {**SETTINGS, "tickUs": "soon"}}, "tickUs", id="tick not a number"),
        pytest.param({**VALID, "settings": {**SETTINGS, "permissions": {}}}, "tryLimit", id="permission missing"),
        pytest.param({**VALID, "known": {"hosts": []}}, "known", id="incomplete endpoint list"),
    ],
)
def test_invalid_configuration_is_one_line_that_names_the_field(tmp_path, config, field):
    process = check_config(tmp_path, config)
    assert process.returncode == 2
    assert field in process.stderr
    assert process.stderr.count("\n") == 1


def test_serve_does_not_load_openssl_and_a_later_import_of_it_works():
    """Guards against 4 MB of resident memory that no connection uses."""
    code = (
        "import sys; sys.argv[1:] = ['serve']; from badgerroad.__main__ import start; start();"
        "print('ssl' in sys.modules, '_hashlib' in sys.modules); import tornado.iostream; print('ssl' in sys.modules)"
    )
    env = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    process = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True)
    assert process.stdout.split() == ["False", "False", "True"], process.stderr
