"""Settings and the operator's configuration of a small deployment."""

import json

PORT_NAMES = ("front", "ready", "control", "udp")
SETTINGS = """
node = "i-{ip}"
role = "relay"
machine-class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "za"
region = "r1"
internal-ports = [{udp}, {udp}]
seeds = {seeds}
bootstrap = false
heartbeat-ms = 1200
[zones]
za = "r1"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 100
retry-after-s = 0
hold-max-ms = 20000
free-ms = 4000
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
"""


def make_settings(ip, ports, seeds, store, memory_mb):
    """Returns the content of a settings file.

    Args:
        ip: IP address of the machine.
        ports: Port number for each of PORT_NAMES.
        seeds: IP addresses of machines.
        store: `IP:port` of the store.
        memory_mb: Memory of the machine.
    """
    return SETTINGS.format(
        ip=ip,
        seeds=json.dumps([f"{seed}:{ports['control']}" for seed in seeds]),
        store=store,
        memory_mb=memory_mb,
        **ports,
    )


def make_spec(host):
    """Returns the `spec` of the operator's configuration.

    The services are `engines`, for streams, and `desk`, for bookings.
    """
    return {
        "version": 1,
        "routes": [
            {
                "name": "ask",
                "host": host,
                "path-prefix": "/ask/",
                "kind": "streaming",
                "timeout-ms": 15_000,
                "goal-ms": 300,
                "priority": 1,
                "service": "engines",
                "max-attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap-target-ms": 200,
            },
            {
                "name": "book",
                "host": host,
                "path-prefix": "/book/",
                "kind": "non_idempotent",
                "timeout-ms": 1_500,
                "goal-ms": 400,
                "priority": 0,
                "service": "desk",
                "max-attempts": 1,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 364,
                "engine": {
                    "slots": 8,
                    "kv-capacity-tokens": 450_000,
                    "stride": 46,
                    "step_ms": 0.925,
                    "per_seq_ms": 0.00966,
                    "context_per_k": 0.00254,
                    "read_per_s": 256_000.0,
                    "pairs_per_m": 0.0917,
                    "chunk": 2_048,
                    "usual": {"prompt": 13_229, "answer": 1_541},
                },
            },
            {"name": "desk", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "guild", "api-keys": ["key-1"], "priority": 1}],
    }
