//! Sends raw requests to the entry port of a daemon and checks the answers.
//!
//! In a fixture, `{fill}` stands for the character `a` repeated `fill` times,
//! and each character is sent as one byte. If `by` is `server`, the HTTP
//! library answers before the daemon sees the request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use savorylane_daemon::settings::{Readers, Settings};
use savorylane_daemon::{Handle, spawn};
use savorylane_intent::document::{Class, Document, Service, Target, Work};
use savorylane_intent::hosts::{Host, List, State};
use savorylane_policy::route::Policy;
use savorylane_standin::{platform, upstream};
use serde::Deserialize;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Limit of each wait: twice the time that a caller has to send the head of a
/// request.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Size limit of request bodies in these tests.
const MAX_BODY_BYTES: u64 = 1000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    request: String,
    #[serde(default)]
    fill: usize,
    /// Expected status; `None` if the connection is closed without an answer.
    status: Option<u16>,
    #[serde(default)]
    by: By,
    #[serde(default)]
    verdict: String,
    #[serde(default)]
    reason: String,
    /// Texts that the upstream of `far` must not receive.
    #[serde(default)]
    absent: Vec<String>,
}

/// Who answers a request.
#[derive(Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum By {
    #[default]
    Daemon,
    Server,
    Upstream,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Explanation {
    reason: String,
    verdict: String,
    #[serde(rename = "cause")]
    _cause: String,
}

/// Two daemons, so that some requests are forwarded to a data port.
struct Fleet {
    _runtime: Runtime,
    _daemons: Vec<Handle>,
    entry: SocketAddr,
}

fn settings(host: &str, service: &str, platform: SocketAddr, upstream: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        host: host.into(),
        region: "north".into(),
        data_centre: "north-a".into(),
        service: service.into(),
        entry: any,
        data: any,
        control: any,
        operator: any,
        upstream,
        health_path: None,
        slots: 6,
        platform: vec![platform],
        peers: Vec::new(),
        key_horizon: Duration::from_secs(30),
        first_start: true,
        drain_limit: Duration::from_secs(1),
        max_body_bytes: MAX_BODY_BYTES,
        caller_connections: 256,
        memory_mb: 256,
        descriptors: 8_192,
        readers: Readers::Ranked,
        policy: Policy::Savorylane,
        budgets: Default::default(),
        link_mbps: 0,
        adapter: None,
        log_level: log::LevelFilter::Off,
    }
}

fn class(name: &str, service: &str, path_prefix: &str, methods: &[&str], work: Work) -> Class {
    Class {
        name: name.into(),
        service: service.into(),
        path_prefix: path_prefix.into(),
        methods: methods.iter().map(|method| (*method).into()).collect(),
        work,
        idempotent: work == Work::Short,
        target: Target {
            latency_ms: 1000,
            quantile: 0.99,
            success: 0.999,
        },
        shed_order: 0,
        authority: None,
        split: Vec::new(),
        timeout_ms: None,
        attempts: None,
        homes: Vec::new(),
    }
}

fn document() -> Document {
    let service = |name: &str| Service::new(name);
    Document {
        number: 1,
        deployment: "test".into(),
        services: vec![service("empty"), service("far"), service("near")],
        classes: vec![
            class("empty", "empty", "/empty/", &["GET"], Work::Short),
            class("far", "far", "/far/", &["GET"], Work::Short),
            class("near", "near", "/near/", &["GET"], Work::Short),
            class("upload", "near", "/upload", &["POST", "PUT"], Work::Long),
        ],
        limits: None,
    }
}

/// Starts an upstream that answers with the head of the request as its body.
fn spawn_echo() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let (mut head, mut byte) = (Vec::new(), [0]);
                while !head.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
                    head.push(byte[0]);
                }
                let length = head.len();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
                );
                stream.write_all(&[answer.as_bytes(), &head].concat())
            });
        }
    });
    Ok(address)
}

/// Starts two daemons, and returns them with the entry port of the first.
async fn spawn_daemons() -> (Vec<Handle>, SocketAddr) {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel).expect("a stand-in platform");
    let (mut daemons, mut hosts) = (Vec::new(), Vec::new());
    for (host, service) in [("a1", "near"), ("b1", "far")] {
        let upstream = upstream::spawn(upstream::Settings::default(), &Arc::default(), &cancel);
        let upstream = match service {
            "far" => spawn_echo().expect("an echo upstream"),
            _ => upstream.expect("a stand-in upstream").addr,
        };
        let settings = settings(host, service, platform.addr(), upstream);
        let daemon = spawn(settings).await.expect("a daemon");
        hosts.push(Host {
            name: host.into(),
            region: "north".into(),
            data_centre: "north-a".into(),
            service: service.into(),
            entry: daemon.addresses["entry"],
            data: daemon.addresses["data"],
            // The tests send no control messages, so any address will do.
            control: SocketAddr::from(([127, 0, 0, 1], 9)),
            operator: daemon.addresses["operator"],
            state: State::Live,
            instance: None,
            slots: None,
            lapsed: false,
            evacuated: false,
            cold_ms: 0,
        });
        daemons.push(daemon);
    }
    platform.publish_hosts(&List { number: 1, hosts });
    platform.publish_document(&document());
    let entry = daemons[0].addresses["entry"];
    (daemons, entry)
}

/// Returns the entry port of a fleet that all tests of this process share.
fn shared_entry() -> SocketAddr {
    static FLEET: OnceLock<Fleet> = OnceLock::new();
    let fleet = FLEET.get_or_init(|| {
        let runtime = Runtime::new().expect("a runtime");
        let (daemons, entry) = runtime.block_on(spawn_daemons());
        let start = Instant::now();
        for path in ["/near/x", "/far/x"] {
            let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
            while send_raw(entry, request.as_bytes()).map(|answer| answer.0) != Some(200) {
                assert!(
                    start.elapsed() < WAIT_TIMEOUT,
                    "the daemons do not serve {path}"
                );
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Fleet {
            _runtime: runtime,
            _daemons: daemons,
            entry,
        }
    });
    fleet.entry
}

/// Sends a raw request and returns status, head and body of the answer; `None`
/// if the connection is closed without an answer.
fn send_raw(entry: SocketAddr, request: &[u8]) -> Option<(u16, String, Vec<u8>)> {
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("a limit");
    // The server may close the connection before it has read the request.
    let _ = stream.write_all(request);
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head.split("content-length: ").nth(1);
            let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
            let start = head.len() + 4;
            if bytes.len() >= start + length.unwrap_or(0) {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some((status, head, bytes[start..].to_vec()));
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(count) => bytes.extend(&part[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                panic!("neither an answer nor a closed connection within {WAIT_TIMEOUT:?}")
            }
            Err(_) => break,
        }
    }
    assert!(!bytes.starts_with(b"HTTP"), "an answer that ends early");
    None
}

/// Guards against malformed, oversized or unroutable requests that run, that
/// are answered without verdict or reason, or that are never answered.
fn request(_path: &Path, json: String) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&json)?;
    let text = case.request.replace("{fill}", &"a".repeat(case.fill));
    let bytes: Vec<u8> = text.chars().map(|c| u8::try_from(c).unwrap()).collect();
    let found = send_raw(shared_entry(), &bytes);
    let head = found.as_ref().map(|found| found.1.as_str());
    let status = found.as_ref().map(|found| found.0);
    assert_eq!(status, case.status, "{head:?}");
    let Some((_, head, body)) = found else {
        return Ok(());
    };
    let lines = head.lines();
    let verdict = lines.filter_map(|line| line.strip_prefix("savorylane-verdict: "));
    let verdicts: Vec<&str> = verdict.collect();
    if case.by == By::Server {
        assert!(verdicts.is_empty() && body.is_empty(), "{head}");
        assert!(head.contains("\r\nconnection: close"), "{head}");
        return Ok(());
    }
    assert_eq!(verdicts, [case.verdict.as_str()]);
    if case.by == By::Daemon {
        let text = String::from_utf8(body)?;
        assert_eq!(text.lines().count(), 1);
        let explanation: Explanation = serde_json::from_str(&text)?;
        assert_eq!(explanation.reason, case.reason);
        assert_eq!(explanation.verdict, case.verdict);
        return Ok(());
    }
    if !case.absent.is_empty() {
        let received = String::from_utf8(body)?;
        assert!(received.starts_with("GET /far/"), "{received}");
        for text in case.absent {
            assert!(!received.contains(&text), "{received}");
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = request, root = "tests/fixtures/requests", pattern = r"\.json$" },
}
