"""Tests of real processes: faults, drains, platform outages, start, TLS."""

import concurrent.futures
import datetime
import ipaddress
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
import testtools

from catkintrail import admin_client
from tests import processes


class FleetCase(testtools.TestCase):
    """Base class of tests that each start a fleet."""

    fleet_options = {}

    def setUp(self):
        super().setUp()
        self.fleet = processes.Fleet(**self.fleet_options)
        self.addCleanup(self.fleet.close)
        self.fleet.prepare()

    def other_instance(self, owner):
        return "x2" if owner == "x1" else "x1"


class EndToEndTests(FleetCase):

    def test_requests_refusals_and_outages(self):
        """Runs all checks on one fleet, since a fleet is slow to start."""
        for name in self.fleet.urls:
            text, is_complete = processes.read_stream(
                self.fleet.open_completion(name)
            )
            self.assertTrue(is_complete and processes.is_continuous(text))
        self.check_idempotency_keys()
        self.check_refusals()
        self.check_platform_outage()
        self.check_lost_platform_answers()
        self.check_invalid_frames()
        self.check_admin_api()

    def check_idempotency_keys(self):
        first = self.fleet.make_booking("x1", "k1")
        repeated = self.fleet.make_booking("y1", "k1")
        self.assertEqual((200, first.data), (repeated.status, repeated.data))
        self.assertEqual(1, self.fleet.count_executions("k1"))
        with concurrent.futures.ThreadPoolExecutor(12) as executor:
            names = list(self.fleet.urls) * 4
            list(
                executor.map(lambda n: self.fleet.make_booking(n, "k2"), names)
            )
        self.assertEqual(1, self.fleet.count_executions("k2"))

    def check_refusals(self):
        url = self.fleet.urls["x1"]
        valid_headers = {"Authorization": f"Bearer {processes.CALLER_KEY}"}
        valid_body = {"model": "ask", "prompt": "x"}
        cases = [
            (401, "POST", "/v1/completions", {}, valid_body),
            (
                401,
                "POST",
                "/v1/completions",
                {"Authorization": "Bearer no"},
                valid_body,
            ),
            (
                404,
                "POST",
                "/v1/completions",
                valid_headers,
                {**valid_body, "model": "nope"},
            ),
            (
                400,
                "POST",
                "/v1/completions",
                valid_headers,
                {**valid_body, "prompt": 7},
            ),
            (
                400,
                "POST",
                "/v1/completions",
                valid_headers,
                {**valid_body, "max_tokens": -1},
            ),
            (
                413,
                "POST",
                "/v1/completions",
                valid_headers,
                {**valid_body, "prompt": [1] * 200_000},
            ),
            (
                400,
                "POST",
                "/v1/completions",
                {**valid_headers, "X-Deadline-Seconds": "nan"},
                valid_body,
            ),
            (
                400,
                "POST",
                "/v1/completions",
                {**valid_headers, "X-Priority": "high"},
                valid_body,
            ),
            (
                403,
                "POST",
                "/v1/completions",
                {"Authorization": "Bearer rival-key"},
                {**valid_body, "model": "private"},
            ),
            (400, "POST", "/services/book/x", valid_headers, {}),
            (403, "GET", "/admin/objects", valid_headers, None),
            (404, "GET", "/nowhere", {}, None),
        ]
        for status, method, path, headers, body in cases:
            response = processes.HTTP.request(
                method,
                url + path,
                headers=headers,
                body=None if body is None else json.dumps(body),
                timeout=10.0,
            )
            self.assertEqual(status, response.status, (path, response.data))
            error = response.json()["error"]
            self.assertEqual("not_run", error["verdict"])
            self.assertTrue(error["message"])
        deeply_nested = b'{"a":' + b"[" * 100_000
        for body in (b"\xff\xfe", b"[1]", b"{", deeply_nested):
            response = processes.HTTP.request(
                "POST",
                url + "/v1/completions",
                headers=valid_headers,
                body=body,
            )
            self.assertEqual(400, response.status)

    def check_platform_outage(self):
        self.fleet.set_faults(outage=True)
        refused = self.fleet.make_booking("x2", "k3")
        self.assertEqual(503, refused.status)
        self.assertEqual("not_run", refused.headers["X-Verdict"])
        self.assertIn("Retry-After", refused.headers)
        self.assertEqual(0, self.fleet.count_executions("k3"))
        _, is_complete = processes.read_stream(self.fleet.open_completion("y1"))
        self.assertTrue(is_complete)
        edits = [{"kind": "services", "name": "t", "value": {}}]
        change = self.fleet.admin("POST", "changes", {"edits": edits})
        self.assertEqual(503, change.status)
        self.fleet.set_faults(outage=False)
        self.assertEqual(200, self.fleet.make_booking("x2", "k3").status)

    def check_lost_platform_answers(self):
        self.fleet.set_faults(lose_answers=1)
        self.assertEqual(200, self.fleet.make_booking("x1", "k4").status)
        self.fleet.set_faults(lose_answers=3)
        self.fleet.make_booking("x1", "k5")
        self.fleet.make_booking("x2", "k5")
        self.assertThat(
            self.fleet.count_executions("k5"), testtools.matchers.LessThan(2)
        )
        self.fleet.set_faults(lose_answers=0)

    def check_invalid_frames(self):
        """An unauthenticated peer connection gets no data and does no harm."""
        _, peer_port = self.fleet.ports["x1"]
        for content in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"\xff" * 64,
            b"\0\0\0\4abcd",
        ):
            with socket.create_connection(("127.0.0.1", peer_port)) as client:
                client.sendall(content)
                client.settimeout(10)
                try:
                    self.assertEqual(b"", client.recv(100))
                except ConnectionResetError:
                    pass
        metrics = processes.get(
            self.fleet.urls["x1"] + "/metrics"
        ).data.decode()
        refused = next(
            line
            for line in metrics.splitlines()
            if line.startswith("catkintrail_refused_frames ")
        )
        self.assertThat(
            float(refused.split()[1]), testtools.matchers.GreaterThan(1)
        )

    def check_admin_api(self):
        edits = [{"kind": "routes", "name": "r", "value": {"model": "gone"}}]
        change = self.fleet.admin("POST", "changes", {"edits": edits})
        self.assertEqual(400, change.status)
        self.assertIn(b"routes.r.model", change.data)
        history = self.fleet.admin("GET", "history").json()["changes"]
        self.assertEqual([1], [entry["generation"] for entry in history])
        for line in self.fleet.read_log("x1").splitlines():
            self.assertEqual("x1", json.loads(line)["instance"])


class ProcessFaultTests(FleetCase):

    fleet_options = {"speed": 1.0}

    def test_stream_of_killed_engine_resumes_on_another(self):
        stream = self.fleet.open_completion("x1", max_tokens=400)
        lines = iter(stream)
        first_lines = [next(lines) for _ in range(8)]
        engine_states = {
            name: processes.get(f"http://{address}/standin/state").json()
            for name, address in self.fleet.engines.items()
        }
        busy_engine = next(
            name for name, state in engine_states.items() if state["running"]
        )
        self.fleet.kill(busy_engine)
        text, is_complete = processes.read_stream([*first_lines, *lines])
        self.assertTrue(is_complete)
        self.assertTrue(processes.is_continuous(text))

    def test_caller_disconnect_cancels_attempt_at_engine(self):
        stream = self.fleet.open_completion("x1", max_tokens=900)
        lines = iter(stream)
        for _ in range(4):
            next(lines)
        stream.close()

        def is_cancelled():
            text = processes.get(self.fleet.urls["x1"] + "/metrics").data
            return b'attempts_total{outcome="cancelled"} 1' in text

        processes.wait_until(is_cancelled, "the attempt's cancellation")

        def is_idle(address):
            state = processes.get(f"http://{address}/standin/state").json()
            return not state["running"] and not state["kv_used"]

        processes.wait_until(
            lambda: all(map(is_idle, self.fleet.engines.values())),
            "idle engines",
        )

    def test_stopped_pool_owner_is_bypassed(self):
        owner = self.fleet.find_pool_owner()
        self.fleet.kill(owner, signal.SIGSTOP)
        try:
            name = self.other_instance(owner)
            _, is_complete = processes.read_stream(
                self.fleet.open_completion(name)
            )
            self.assertTrue(is_complete)
        finally:
            self.fleet.kill(owner, signal.SIGCONT)
        processes.wait_until(
            lambda: self.fleet.is_ready(owner), "ready after SIGCONT"
        )
        _, is_complete = processes.read_stream(
            self.fleet.open_completion(owner)
        )
        self.assertTrue(is_complete)

    def test_booking_runs_at_most_once_if_instance_is_killed(self):
        """Callers repeat their bookings with the same keys elsewhere."""
        with concurrent.futures.ThreadPoolExecutor(8) as executor:
            keys = [f"kill{number}" for number in range(8)]
            futures = [
                executor.submit(self.fleet.make_booking, "x1", key)
                for key in keys
            ]
            self.fleet.kill("x1")
            concurrent.futures.wait(futures)
        for key in keys:
            repeated = self.fleet.make_booking("x2", key)
            executed = self.fleet.count_executions(key)
            self.assertThat(executed, testtools.matchers.LessThan(2))
            if repeated.status == 200:
                self.assertEqual(1, executed)
            else:
                self.assertEqual("may_have_run", repeated.headers["X-Verdict"])


class DrainTests(FleetCase):

    fleet_options = {"speed": 1.0}

    def test_drain_completes_open_stream(self):
        stream = self.fleet.open_completion("x1", max_tokens=200)
        lines = iter(stream)
        first_lines = [next(lines) for _ in range(4)]
        self.fleet.kill("x1", signal.SIGTERM)
        processes.wait_until(lambda: not self.fleet.is_ready("x1"), "drain")
        refused = self.fleet.open_completion("x1")
        self.assertEqual(503, refused.status)
        self.assertIn("Retry-After", refused.headers)
        refused.release_conn()
        text, is_complete = processes.read_stream([*first_lines, *lines])
        self.assertTrue(is_complete)
        self.assertTrue(processes.is_continuous(text))
        self.assertEqual(0, self.fleet.processes["x1"].wait(30))
        _, is_complete = processes.read_stream(self.fleet.open_completion("x2"))
        self.assertTrue(is_complete)

    def test_second_signal_exits_at_once(self):
        stream = self.fleet.open_completion("x1", max_tokens=400)
        next(iter(stream))
        self.fleet.kill("x1", signal.SIGTERM)
        processes.wait_until(lambda: not self.fleet.is_ready("x1"), "drain")
        self.fleet.kill("x1", signal.SIGTERM)
        self.assertEqual(1, self.fleet.processes["x1"].wait(10))


class StartTests(testtools.TestCase):
    """Each startup error prints one clear line and no traceback."""

    def setUp(self):
        super().setUp()
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def run_entry(self, **changes):
        ports = processes.free_ports(3)
        data = {
            "instance": {
                "name": "a",
                "availability_zone": "x",
                "region": "r",
                "address": "127.0.0.1",
            },
            "callers": {"port": ports[0]},
            "peers": {"port": ports[1], "secret": "0123456789abcdef"},
            "platform": {"url": f"http://127.0.0.1:{ports[2]}"},
            **changes,
        }
        path = pathlib.Path(self.directory.name) / "settings.json"
        path.write_text(json.dumps(data))
        completed = subprocess.run(
            [sys.executable, "-m", "catkintrail", "entry", "--settings", path],
            capture_output=True,
            timeout=60,
            check=False,
        )
        lines = [
            line
            for line in completed.stderr.decode().splitlines()
            if not line.startswith("{")
        ]
        return completed.returncode, lines

    def test_unknown_setting(self):
        code, lines = self.run_entry(calers={})
        self.assertEqual((2, 1), (code, len(lines)))
        self.assertIn("did you mean 'callers'", lines[0])

    def test_port_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            for changes in (
                {"callers": {"port": port}},
                {"peers": {"port": port, "secret": "0123456789abcdef"}},
            ):
                code, lines = self.run_entry(**changes)
                self.assertEqual((1, 1), (code, len(lines)))
                self.assertIn(f"127.0.0.1:{port}", lines[0])

    def test_missing_certificate(self):
        callers = {
            "port": 1,
            "certificate": "/no.pem",
            "private_key": "/no.pem",
        }
        code, lines = self.run_entry(callers=callers)
        self.assertEqual(2, code)
        self.assertIn("no file '/no.pem'", lines[0])

    def test_missing_settings_file(self):
        completed = subprocess.run(
            [sys.executable, "-m", "catkintrail", "check", "/no.json"],
            capture_output=True,
            check=False,
        )
        self.assertEqual(2, completed.returncode)
        self.assertIn(b"cannot be read", completed.stderr)


def make_certificates(directory):
    """Creates a certificate authority and one certificate for all peers."""

    def name(text):
        return x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, text)])

    def build(subject, issuer, key, signer, is_authority):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(name(subject))
            .issuer_name(name(issuer))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(
                x509.BasicConstraints(is_authority, None), critical=True
            )
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
                ),
                critical=False,
            )
        )
        return builder.sign(signer, hashes.SHA256())

    keys = [ec.generate_private_key(ec.SECP256R1()) for _ in range(2)]
    authority = build("authority", "authority", keys[0], keys[0], True)
    peer = build("peer", "authority", keys[1], keys[0], False)
    pem = serialization.Encoding.PEM
    paths = {}
    for label, content in (
        ("authority", authority.public_bytes(pem)),
        ("certificate", peer.public_bytes(pem)),
        (
            "private_key",
            keys[1].private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        ),
    ):
        path = pathlib.Path(directory) / f"{label}.pem"
        path.write_bytes(content)
        paths[label] = str(path)
    return paths


class TlsTests(testtools.TestCase):

    def test_admin_api_over_tls(self):
        """Only a client that trusts the authority gets an answer."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        paths = make_certificates(directory.name)
        fleet = processes.Fleet(engines=0)
        self.addCleanup(fleet.close)
        processes.wait_until(lambda: fleet.is_ready("y1"), "ready")
        fleet.kill("y1")
        callers = {"port": fleet.ports["y1"][0], "threads": 8}
        callers["certificate"] = paths["certificate"]
        callers["private_key"] = paths["private_key"]
        fleet.start_entry("y1", callers=callers)
        url = fleet.urls["y1"].replace("http:", "https:")
        client = admin_client.AdminClient(
            url, processes.OPERATOR_KEY, paths["authority"]
        )

        def is_answering():
            try:
                return client.read_status()["ready"]
            except admin_client.AdminError:
                return False

        processes.wait_until(is_answering, "an answer over TLS")
        untrusting_client = admin_client.AdminClient(
            url, processes.OPERATOR_KEY
        )
        self.assertRaises(
            admin_client.AdminError, untrusting_client.read_status
        )

    def test_peers_over_tls(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = processes.Fleet(tls=make_certificates(directory.name))
        self.addCleanup(fleet.close)
        fleet.prepare()
        _, is_complete = processes.read_stream(fleet.open_completion("y1"))
        self.assertTrue(is_complete)
        _, peer_port = fleet.ports["x1"]
        with socket.create_connection(
            ("127.0.0.1", peer_port)
        ) as plain_connection:
            plain_connection.sendall(b"\0\0\0\4abcd")
            plain_connection.settimeout(10)
            self.assertNotIn(b"abcd", plain_connection.recv(100))
