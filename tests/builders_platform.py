"""Sample documents of the platform."""

import json
from types import SimpleNamespace

__all__ = [
    "HEARTBEAT",
    "CONFIGURATION",
    "JOB",
    "PROCESS_SETTINGS",
    "SETTINGS",
    "job_document",
    "job_state",
    "make_order",
]


JOB = {
    "Spec": "text",
    "Steps": [
        {
            "Count": 4,
            "Cpu": 500,
            "MemMb": 256,
            "EstimateMs": 900,
            "Affinity": "r1-3",
        },
        {
            "Count": 20,
            "Cpu": 2000,
            "MemMb": 1024,
            "EstimateMs": 7000,
            "DependsOn": [0],
            "Checkpointing": True,
        },
    ],
}
HEARTBEAT = {
    "Service": "svc",
    "Address": "10.128.0.9:8080",
    "Zone": "kumasi",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Capacity": {"Cpu": 16_000, "MemMb": 32_768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "ClockMs": 482_113,
    "Sequence": 4,
    "born": 1_700_000,
}
ROUTE = {
    "Name": "plain",
    "Host": "nony24.example",
    "PathPrefix": "/lohu930/",
    "Kind": "non_idempotent",
    "TimeoutMs": 3000,
    "TargetLatencyMs": 500,
    "Priority": 0,
    "Service": "svc",
    "MaxAttempts": 3,
    "SlackFactor": 1.5,
}
CONFIGURATION = {
    "Version": 7,
    "Routes": [ROUTE, ROUTE | {"Name": "deep", "PathPrefix": "/lohu930/deep/"}],
    "Services": [{"Name": "svc", "RejectsOverload": True}],
    "Limits": {"MaxHeaderBytes": 16_384, "HeaderTimeoutMs": 3000},
}
SETTINGS = """
NodeName = "front-kumasi-1"
Ip = "10.1.0.13"
Zone = "kumasi"
Region = "ashanti"
InternalPorts = [7720,7735]
SomethingNew = true
[ListenAddrs]
Front = "10.1.0.13:8161"
Readiness = "10.1.0.13:8167"
[Bounds]
HoldMaxMs = 6000
EvacuateMs = 5000
GraceS = 6
[platform]
Address = "10.200.1.7:8169"
TtlMinMs = 1000
"""


#: Template of the settings file of a process on loopback.
PROCESS_SETTINGS = """
NodeName = "{name}"
Ip = "{host}"
Zone = "{zone}"
Region = "ashanti"
InternalPorts = [{port}, {port}]
app = "{worker}"
[ListenAddrs]
Front = "{host}:{front}"
Readiness = "{host}:{ready}"
Control = "{host}:{control}"
[Bounds]
HoldMaxMs = {lease_ms}
EvacuateMs = 5000
GraceS = {grace_s}
[platform]
Address = "{store}"
"""


def job_document(spec):
    """Return the document with which a caller submits a job."""
    steps = [
        {
            "Count": step.count,
            "Cpu": step.demand.millicores,
            "MemMb": step.demand.memory_mb,
            "EstimateMs": step.estimate_ms,
            "DependsOn": step.depends_on,
            "Gang": step.is_gang,
            "Requirements": step.required_label,
            "LongRunning": step.is_service,
        }
        for step in spec.steps
    ]
    return {"Spec": spec.program, "Steps": steps}


def job_state(body):
    """Return the job state in the body of a reply to a caller."""
    return json.loads(body)["State"]


def make_order():
    return SimpleNamespace(
        task_id="5c0e7a21d94b36f8.0.0.1",
        run=2,
        born_ms=3,
        program="text",
        checkpoint="c",
        permit="t",
    )
