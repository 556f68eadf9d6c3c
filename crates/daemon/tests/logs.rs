//! Limits of the log lines, and events that must be logged.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use common::{Daemon, document, get, list};
use savorylane_daemon::decisions::{Decisions, Kind};
use savorylane_daemon::logs::sink::{MAX_QUEUED_LINES, Sink};
use savorylane_standin::platform;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Longest wait for a condition, with a margin for a loaded machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time for which logging may delay a request.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// An output whose writes each wait for a permit. Reports the length of each
/// write.
struct Output {
    permits: Receiver<io::Result<()>>,
    written: Sender<usize>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits
            .recv()
            .unwrap_or(Err(io::ErrorKind::BrokenPipe.into()))?;
        self.written.send(bytes.len()).unwrap();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns an output, the sender of its permits, and the receiver of the
/// lengths of its writes.
fn output() -> (Output, Sender<io::Result<()>>, Receiver<usize>) {
    let (permit, permits) = channel();
    let (written, lengths) = channel();
    (Output { permits, written }, permit, lengths)
}

fn line() -> Vec<u8> {
    b"0123456789\n".to_vec()
}

/// Guards against a slow reader of standard output that blocks requests, and
/// against a queue that grows without bound in the meantime.
#[test]
fn a_slow_output_blocks_no_request_and_the_queue_is_bounded() {
    let (output, permit, lengths) = output();
    let sink = Sink::spawn(output);
    let start = Instant::now();
    let queued = (0..3 * MAX_QUEUED_LINES)
        .filter(|_| sink.offer(line()))
        .count();
    assert!(start.elapsed() < MAX_DELAY, "{:?}", start.elapsed());
    // The writing thread may have removed one batch of 32 KiB from the queue.
    let batch = (32 << 10) / line().len() + 1;
    assert!(
        (MAX_QUEUED_LINES..=MAX_QUEUED_LINES + batch).contains(&queued),
        "{queued}"
    );
    drop(sink);
    let mut bytes = 0;
    while bytes < queued * line().len() {
        permit.send(Ok(())).unwrap();
        bytes += lengths.recv_timeout(CONDITION_TIMEOUT).unwrap();
    }
    assert_eq!(bytes, queued * line().len());
}

/// Guards against requests that fail or block after standard output is closed.
#[test]
fn a_closed_output_drops_lines() {
    let (output, permit, _lengths) = output();
    let sink = Sink::spawn(output);
    permit.send(Err(io::ErrorKind::BrokenPipe.into())).unwrap();
    assert!(sink.offer(line()));
    let start = Instant::now();
    while sink.offer(line()) {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "lines are queued for a closed output"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(!sink.offer(line()));
}

/// Guards against a flood of one kind of line that increases the volume of the
/// log without bound, or that suppresses the lines of failures.
#[test]
fn a_flood_of_one_kind_is_bounded_and_displaces_no_other() {
    let decisions = Decisions::default();
    let mut written = BTreeMap::new();
    for ms in 0..10_000 {
        let now = Duration::from_millis(ms);
        for kind in [Kind::Answered, Kind::AttemptAnswered, Kind::Admitted] {
            let allowed = (0..10).filter(|_| decisions.allow(kind, now)).count();
            *written.entry(kind.name()).or_default() += allowed;
        }
        if ms % 100 == 0 {
            assert!(decisions.allow(Kind::Failed, now), "{now:?}");
        }
    }
    let expected = [("admitted", 200), ("answered", 200), ("attempt", 200)];
    assert_eq!(written, BTreeMap::from(expected));
    assert_eq!(decisions.suppressed(Kind::Answered), 100_000 - 200);
    assert_eq!(decisions.suppressed(Kind::Failed), 0);
}

/// Guards against a SIGHUP that ends the process or is not logged, and against
/// a start and a stop without a log line.
#[test]
fn a_start_a_reload_and_a_stop_are_logged() {
    let arguments = [
        "--drain-limit-s=1".to_owned(),
        "--upstream=127.0.0.1:1".to_owned(),
        "--platform=127.0.0.1:1".to_owned(),
    ];
    let mut daemon = Daemon::spawn("a1", "a", &arguments);
    let read_until = |daemon: &mut Daemon, outcome: &str| {
        let mut lines = daemon.output.by_ref().map_while(Result::ok);
        let found = lines.find(|line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            line["module"] == "process" && line["outcome"] == outcome
        });
        found.unwrap_or_else(|| panic!("no log line has the outcome {outcome}"))
    };
    read_until(&mut daemon, "started");
    for (signal, outcome) in [
        ("-HUP", "reloaded"),
        ("-HUP", "reloaded"),
        ("-TERM", "stopping"),
    ] {
        let id = daemon.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.unwrap().success());
        read_until(&mut daemon, outcome);
    }
    read_until(&mut daemon, "stopped");
    assert!(daemon.child.wait().unwrap().success());
}

/// Guards against a request that is not retried and has no log line with the
/// reason.
#[tokio::test(flavor = "multi_thread")]
async fn an_exhausted_retry_budget_is_logged() {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel).unwrap();
    // The upstream closes connections without an answer.
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = upstream.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = upstream.accept().await.unwrap();
            tokio::spawn(async move { stream.read(&mut [0; 4_096]).await });
        }
    });
    let arguments = [
        format!("--platform={}", platform.addr()),
        format!("--upstream={address}"),
    ];
    let mut daemon = Daemon::spawn("a1", "a", &arguments);
    platform.publish_hosts(&list(1, vec![daemon.list_entry("a")]));
    platform.publish_document(&document(1));
    let entry = daemon.addresses["entry"];
    let start = Instant::now();
    // The retry budget allows a burst of ten retries.
    while get(entry, "/stock/x")
        .await
        .map_or(true, |answer| answer.verdict == "not-run")
    {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "no request reaches the upstream"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for _ in 0..30 {
        let _ = get(entry, "/stock/x").await;
    }
    daemon.child.kill().unwrap();
    let mut lines = daemon.output.by_ref().map_while(Result::ok);
    let found = lines.any(|line| {
        let line: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        line["event"] == "retry" && line["outcome"] == "budget-empty"
    });
    assert!(found, "no log line reports the empty retry budget");
}
