//! Runs the built binary against a stub of a daemon's operator port.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObject;
use savorylane_intent::document::Target;
use savorylane_intent::{Hash, Version};
use savorylane_wire::operator::{Entry, Host, OperatorServer, Outcome, Scope, Status, Summary};
use savorylane_wire::{Incarnation, Load};

/// Operator port that returns the prepared states one after the other, and then
/// repeats the last one. It records the calls.
#[derive(Clone, Default)]
struct Stub {
    states: Arc<Mutex<VecDeque<Status>>>,
    summary: Option<Summary>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl Stub {
    fn of(states: impl IntoIterator<Item = Status>) -> Self {
        let states = Arc::new(Mutex::new(states.into_iter().collect()));
        Self {
            states,
            ..Self::default()
        }
    }

    fn next_state(&self, call: String) -> RpcResult<Status> {
        self.calls.lock().unwrap().push(call);
        let mut states = self.states.lock().unwrap();
        let first = match states.len() {
            0 => None,
            1 => states.front().cloned(),
            _ => states.pop_front(),
        };
        first.ok_or_else(|| ErrorObject::owned(-32001, "no state", None::<()>))
    }
}

#[async_trait]
impl OperatorServer for Stub {
    async fn status(&self) -> RpcResult<Status> {
        self.next_state("status".into())
    }

    async fn summary(&self, scope: Scope) -> RpcResult<Summary> {
        self.calls.lock().unwrap().push(format!("{scope:?}"));
        Ok(self.summary.clone().expect("the test sets no summary"))
    }

    async fn audit(&self, sequence: u64, most: u64) -> RpcResult<Vec<Entry>> {
        let entry = |sequence| Entry {
            sequence,
            at: "2025-01-01T00:00:00Z".into(),
            event: serde_json::json!({ "kind": "refused", "reason": "a\nb", "version": "3-aa" }),
        };
        Ok((sequence + 1..=5)
            .take(usize::try_from(most).unwrap())
            .map(entry)
            .collect())
    }

    async fn drain(&self) -> RpcResult<Status> {
        self.next_state("drain".into())
    }
}

async fn serve(stub: &Stub) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let address = server.local_addr().unwrap();
    (address, server.start(stub.clone().into_rpc()))
}

struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

async fn run_client(address: SocketAddr, args: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_savorylane"));
    command
        .args(args)
        .env_clear()
        .env("SAVORYLANE_OPERATOR", address.to_string());
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let output = output.await.unwrap();
    Run {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn version(number: u64, byte: u8) -> Option<Version> {
    let hash = Hash([byte; 32]);
    Some(Version { number, hash })
}

/// Returns the status of the daemon on `a1` with the version `own`; the hosts
/// are listed by name, state and version.
fn status(own: Option<Version>, others: &[(&str, &str, Option<Version>)]) -> Status {
    let hosts = others.iter().map(|(name, state, version)| Host {
        name: (*name).into(),
        data_centre: "mi-a".into(),
        service: "catalogo".into(),
        state: (*state).into(),
        version: *version,
    });
    Status {
        host: "a1".into(),
        incarnation: Incarnation::default(),
        version: own,
        hosts_number: 7,
        reader: true,
        load: Load::default(),
        hosts: hosts.collect(),
    }
}

fn draining(running: u32, queued: u32, nonce: u32) -> Status {
    let mut status = status(None, &[]);
    status.incarnation.nonce = nonce;
    status.load.running = running;
    status.load.queued = queued;
    status.load.leaving = true;
    status
}

fn outcome(class: &str, requests: u64, succeeded: u64, in_time: u64) -> Outcome {
    let (latency_ms, quantile, success) = (80, 0.99, 0.999);
    Outcome {
        class: class.into(),
        target: Target {
            latency_ms,
            quantile,
            success,
        },
        requests,
        succeeded,
        in_time,
    }
}

/// Guards against a status that hides a missed target, a lagging host or a
/// daemon that is missing from the summary.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_margins_and_lagging_hosts() {
    let hosts = [
        ("a1", "alive", version(4, 1)),
        ("b1", "alive", version(3, 9)),
        ("c1", "unknown", None),
    ];
    let mut stub = Stub::of([status(version(4, 1), &hosts)]);
    stub.summary = Some(Summary {
        window_s: 60,
        daemons: 2,
        missing: 1,
        outcomes: vec![
            outcome("browse", 1000, 1000, 995),
            outcome("confirm", 1000, 998, 900),
            outcome("upload", 0, 0, 0),
        ],
    });
    let (address, _server) = serve(&stub).await;

    let run = run_client(address, &["status", "--scope", "data-centre"]).await;
    assert_eq!((run.code, run.stderr.as_str()), (Some(0), ""));
    let expected = "\
daemon a1, version 4-010101010101, host list 7, reads the platform
load: running 0, queued 0, limit 0, service time 0 us

targets over the last 60 s, scope data centre: 2 daemons counted, 1 did not answer
CLASS    TARGET                        MET          IN TIME               SUCCESS               REQUESTS
browse   80 ms at 0.99, success 0.999  yes          0.995000 (+0.005000)  1.000000 (+0.001000)  1000
confirm  80 ms at 0.99, success 0.999  NO           0.900000 (-0.090000)  0.998000 (-0.001000)  1000
upload   80 ms at 0.99, success 0.999  no requests  -                     -                     0

hosts: 3, of which 1 lag behind version 4-010101010101
HOST  DATA CENTRE  SERVICE   STATE    VERSION
a1    mi-a         catalogo  alive    4-010101010101
b1    mi-a         catalogo  alive    3-090909090909  LAGS
c1    mi-a         catalogo  unknown  -
";
    assert_eq!(run.stdout, expected);

    let run = run_client(address, &["status", "--output", "json"]).await;
    let report: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(report["classes"][1]["met"], false);
    assert_eq!(report["lagging"], serde_json::json!(["b1"]));
    let calls = stub.calls.lock().unwrap().join(" ");
    assert_eq!(calls, "status DataCentre status Fleet");
}

/// Guards against a wait that ends while a host that may serve requests has an
/// older version, and against a wait for hosts that are leaving or gone.
#[tokio::test(flavor = "multi_thread")]
async fn wait_ends_when_every_live_host_has_the_version() {
    let not_counted = [("g1", "gone", None), ("l1", "leaving", version(3, 1))];
    let status_with = |own, state_of_b, version_of_b| {
        let mut hosts = not_counted.to_vec();
        hosts.push(("b1", state_of_b, version_of_b));
        status(own, &hosts)
    };
    let stub = Stub::of([
        status_with(version(3, 1), "alive", version(4, 2)),
        status_with(version(4, 2), "alive", version(3, 1)),
        status_with(version(4, 2), "suspect", version(4, 1)),
        status_with(version(4, 2), "unknown", None),
        status_with(version(4, 2), "alive", version(5, 0)),
    ]);
    let (address, _server) = serve(&stub).await;
    let args = ["wait", "--version=4", "--hash=02", "--limit-s=60"];
    let run = run_client(address, &args).await;
    let expected = "\
version 4-02 is in force on 1 of 2 hosts; lagging: a1
version 4-02 is in force on 1 of 2 hosts; lagging: b1
";
    assert_eq!((run.code, run.stderr.as_str()), (Some(0), expected));
    assert_eq!(
        run.stdout,
        "version 4-020202020202 or a later one is in force on 2 hosts\n"
    );
    assert_eq!(stub.calls.lock().unwrap().len(), 5);
}

/// Guards against a wait that exceeds its limit, and against an error that does
/// not name the lagging hosts.
#[tokio::test(flavor = "multi_thread")]
async fn wait_names_the_lagging_hosts_when_the_limit_passes() {
    let hosts = [("b1", "alive", version(3, 1)), ("c1", "alive", None)];
    let stub = Stub::of([status(version(4, 2), &hosts)]);
    let (address, _server) = serve(&stub).await;
    let args = ["wait", "--version=4", "--limit-s=1", "--output=json"];
    let run = run_client(address, &args).await;
    assert_eq!((run.code, run.stdout.as_str()), (Some(1), ""));
    let last = run.stderr.lines().last().unwrap();
    assert_eq!(
        last,
        r#"{"error":"limit of 1 s passed: version 4 is in force on 1 of 3 hosts; lagging: b1, c1"}"#
    );
}

/// Guards against audit entries that are skipped or shown twice, and against a
/// line break within a value that looks like the start of another entry.
#[tokio::test(flavor = "multi_thread")]
async fn audit_shows_the_requested_entries_one_per_line() {
    let (address, _server) = serve(&Stub::default()).await;
    let run = run_client(address, &["audit", "--after", "3"]).await;
    let expected = "\
SEQUENCE  AT                    KIND     DETAILS
4         2025-01-01T00:00:00Z  refused  reason=\"a\\nb\" version=\"3-aa\"
5         2025-01-01T00:00:00Z  refused  reason=\"a\\nb\" version=\"3-aa\"
";
    assert_eq!((run.code, run.stdout.as_str()), (Some(0), expected));
    let run = run_client(address, &["audit", "--most=2", "--output=json"]).await;
    let entries: Vec<Entry> = run
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let sequences: Vec<u64> = entries.iter().map(|entry| entry.sequence).collect();
    assert_eq!(sequences, [1, 2]);
}

/// Guards against a drain that is reported as finished while work is running or
/// queued, or because a restarted daemon has no work.
#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_until_nothing_runs() {
    let stub = Stub::of([draining(2, 1, 0), draining(0, 1, 0), draining(0, 0, 0)]);
    let (address, _server) = serve(&stub).await;
    let run = run_client(address, &["drain"]).await;
    assert_eq!(
        (run.code, run.stdout.as_str()),
        (Some(0), "a1 is leaving and has no work left\n")
    );
    assert_eq!(run.stderr.lines().count(), 2, "{}", run.stderr);
    assert_eq!(stub.calls.lock().unwrap().join(" "), "drain status status");

    let (address, _server) = serve(&Stub::of([draining(1, 0, 0)])).await;
    let run = run_client(address, &["drain", "--limit-s=1"]).await;
    assert_eq!(run.code, Some(1));
    let reason = "Error: limit of 1 s passed: a1 has work left: running 1, queued 0,";
    assert!(
        run.stderr.lines().last().unwrap().starts_with(reason),
        "{}",
        run.stderr
    );

    let (address, _server) = serve(&Stub::of([draining(1, 0, 0), draining(0, 0, 1)])).await;
    let run = run_client(address, &["drain"]).await;
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.contains("a1 was restarted"), "{}", run.stderr);
}

/// Guards against errors from which the operator cannot tell a wrong address
/// from a daemon that fails, or that do not name the daemon.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_and_failing_daemons_have_their_own_exit_codes() {
    let commands: [&[&str]; 4] = [
        &["status"],
        &["wait", "--version=1", "--limit-s=60"],
        &["audit"],
        &["drain"],
    ];
    // Nothing listens on port 1 of the loopback interface.
    let closed_port = SocketAddr::from(([127, 0, 0, 1], 1));
    for command in commands {
        let run = run_client(closed_port, command).await;
        let expected = "Error: daemon at 127.0.0.1:1: cannot be reached: Connection refused";
        assert_eq!(run.code, Some(3), "{command:?}");
        assert!(run.stderr.starts_with(expected), "{}", run.stderr);
    }
    let (address, _server) = serve(&Stub::default()).await;
    for command in [commands[0], commands[1], commands[3]] {
        let run = run_client(address, command).await;
        let expected =
            format!("Error: daemon at {address}: answered with an error: no state (code -32001)\n");
        assert_eq!((run.code, run.stderr), (Some(4), expected), "{command:?}");
    }
}
