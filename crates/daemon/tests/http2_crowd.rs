//! Crowds of callers that send many HTTP/2 requests on each connection to the
//! entry, at a daemon in a process of its own with lowered limits.
//!
//! The tests run one at a time, and check nothing that depends on the speed of
//! the machine.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Daemon, document, get, list};
use h2::client::{Builder, SendRequest};
use http::{Method, Request, StatusCode};
use savorylane_intent::document::Document;
use savorylane_standin::upstream::{Record, Settings};
use savorylane_standin::{platform, resources, upstream};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Number of callers in a crowd.
const MEMBERS: u32 = 600;
/// Number of addresses that the callers of a crowd connect from.
const ADDRESSES: u32 = 6;
/// Time between the arrivals of two callers.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a caller whose connection was closed opens another one.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Number of requests on one connection.
const REQUESTS: usize = 60;
/// Number of bytes of each body that are sent.
const PART_BYTES: usize = 12_000;
/// Size of a further header of each request in bytes.
const FILLER_BYTES: usize = 4_000;
/// Size of a large answer in bytes.
const ANSWER_BYTES: usize = 400_000;
/// Window of an answer that is not read, in bytes.
const ANSWER_WINDOW_BYTES: u32 = 1_000;

/// Number of slots of the upstream.
const SLOTS: usize = 200;
/// Memory of the machine in megabytes.
const MEMORY_MB: u64 = 64;
/// Number of descriptors that the process may open.
const MAX_DESCRIPTORS: usize = 512;
/// Number of descriptors that must stay free for the connections to the
/// platform, to other daemons and to the upstream.
const SPARE_DESCRIPTORS: usize = 64;
/// Time for which the crowd stays before the ordinary request is sent.
const DURATION: Duration = Duration::from_secs(4);
/// Time between two readings of memory and descriptors.
const READING_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an ordinary caller gives up.
const PATIENCE: Duration = Duration::from_secs(20);
/// Time after which an ordinary caller tries again on another connection.
const TRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two tries of an ordinary caller.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Held by the test that runs.
static TURN: Mutex<()> = Mutex::const_new(());

/// What the callers of a crowd send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Conduct {
    /// Bodies without their end.
    Bodies,
    /// Complete requests whose answers are not read.
    UnreadAnswers,
}

/// Returns a document with short reads, and with uploads that may run more than
/// once.
fn document_with_uploads() -> Document {
    let mut document = document(1);
    let mut upload = document.classes[0].clone();
    upload.name = "upload".into();
    upload.path_prefix = "/upload/".into();
    upload.methods = vec!["POST".into()];
    document.classes.push(upload);
    document
}

/// Sends requests on one connection, and keeps it until the daemon closes it.
async fn misbehave(stream: TcpStream, conduct: Conduct) -> io::Result<()> {
    let mut builder = Builder::new();
    if conduct == Conduct::UnreadAnswers {
        builder.initial_window_size(ANSWER_WINDOW_BYTES);
    }
    let connected = builder.handshake(stream).await;
    let (client, connection) = connected.map_err(io::Error::other)?;
    tokio::select! {
        ended = connection => ended.map_err(io::Error::other),
        failed = send_all(client, conduct) => failed.map_err(io::Error::other),
    }
}

async fn send_all(client: SendRequest<Bytes>, conduct: Conduct) -> Result<(), h2::Error> {
    let mut client = client.ready().await?;
    let is_complete = conduct == Conduct::UnreadAnswers;
    let mut open = Vec::new();
    for number in 0..REQUESTS {
        let (answer, mut body) = client.send_request(request(conduct, number), is_complete)?;
        if !is_complete {
            body.send_data(Bytes::from_static(&[b'x'; PART_BYTES]), false)?;
        }
        open.push((answer, body));
        client = client.ready().await?;
    }
    std::future::pending().await
}

fn request(conduct: Conduct, number: usize) -> Request<()> {
    let (method, path) = match conduct {
        Conduct::Bodies => (Method::POST, "/upload/"),
        Conduct::UnreadAnswers => (Method::GET, "/stock/large/"),
    };
    Request::builder()
        .method(method)
        .uri(format!("http://shop.example{path}{number}"))
        .header("savorylane-timeout-ms", "20000")
        .header("x-filler", "f".repeat(FILLER_BYTES))
        .body(())
        .expect("the parts of the request are valid")
}

/// Starts callers that connect again whenever their connections are closed.
fn gather(entry: SocketAddr, conduct: Conduct) -> JoinSet<()> {
    let mut members = JoinSet::new();
    for member in 0..MEMBERS {
        members.spawn(async move {
            tokio::time::sleep(ARRIVAL_INTERVAL * member).await;
            loop {
                if let Ok(stream) = connect(entry, member).await {
                    let _ = misbehave(stream, conduct).await;
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        });
    }
    members
}

/// Connects to the entry from an address of a member.
async fn connect(entry: SocketAddr, member: u32) -> io::Result<TcpStream> {
    let source = Ipv4Addr::new(127, 255, 1, (member % ADDRESSES) as u8 + 1);
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(IpAddr::V4(source), 0))?;
    socket.connect(entry).await
}

/// Returns the memory of the process with the bytes that it has received and not
/// yet read, and the number of its descriptors.
fn read_resources(daemon: &mut Daemon) -> (u64, usize) {
    let ended = daemon
        .child
        .try_wait()
        .expect("a process that can be waited for");
    assert!(ended.is_none(), "the daemon ended by itself: {ended:?}");
    let process = daemon.child.id();
    let entry = daemon.addresses["entry"];
    let none = SocketAddr::new(entry.ip(), 0);
    let resident = resources::resident_memory(process);
    let memory = resident + resources::unread_bytes(entry.ip(), none);
    let memory = memory.max(resources::peak_memory(process));
    (memory, resources::open_descriptors(process))
}

/// Sends ordinary requests, one at a time and each on a connection of its own,
/// until one is answered with 200.
async fn request_until_served(entry: SocketAddr) {
    let start = Instant::now();
    loop {
        let last = tokio::time::timeout(TRY_TIMEOUT, get(entry, "/stock/well")).await;
        if matches!(&last, Ok(Ok(answer)) if answer.status == StatusCode::OK) {
            return;
        }
        let late = start.elapsed() > PATIENCE;
        assert!(!late, "the daemon does not serve: {last:?}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Plays a crowd and checks what must hold.
async fn check_crowd(subnet: u8, conduct: Conduct) {
    let _turn = TURN.lock().await;
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel).unwrap();
    let mut settings = Settings {
        slots: SLOTS,
        ..Settings::default()
    };
    let mut large = settings.services[0].clone();
    large.path_prefix = "/stock/large/".into();
    large.fill = ANSWER_BYTES;
    settings.services.push(large);
    let record = Arc::new(Record::default());
    let upstream = upstream::spawn(settings, &record, &cancel).unwrap();
    // No other process has sockets with this address.
    let ip = Ipv4Addr::new(127, (std::process::id() % 250) as u8 + 1, subnet, 1);
    let any = SocketAddr::new(IpAddr::V4(ip), 0);
    let arguments = [
        format!("--platform={}", platform.addr()),
        format!("--upstream={}", upstream.addr),
        format!("--slots={SLOTS}"),
        format!("--memory-mb={MEMORY_MB}"),
        format!("--descriptors={MAX_DESCRIPTORS}"),
    ];
    let mut daemon = Daemon::spawn_on("a1", "a", [any; 4], &arguments);
    let entry = daemon.addresses["entry"];
    platform.publish_hosts(&list(1, vec![daemon.list_entry("a")]));
    platform.publish_document(&document_with_uploads());
    request_until_served(entry).await;

    let _crowd = gather(entry, conduct);
    let start = Instant::now();
    let (mut memory, mut descriptors) = (0, 0);
    while start.elapsed() < DURATION {
        let read = read_resources(&mut daemon);
        memory = memory.max(read.0);
        descriptors = descriptors.max(read.1);
        tokio::time::sleep(READING_INTERVAL).await;
    }
    request_until_served(entry).await;
    let read = read_resources(&mut daemon);
    memory = memory.max(read.0);
    descriptors = descriptors.max(read.1);
    println!("{memory} bytes, {descriptors} descriptors");
    assert!(memory < MEMORY_MB * 1_000_000, "{memory} bytes");
    let free = MAX_DESCRIPTORS.saturating_sub(descriptors);
    assert!(free > SPARE_DESCRIPTORS, "{descriptors} descriptors");
    cancel.cancel();
}

/// Guards against heads and bodies of many streams, which are held until their
/// deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_on_many_streams_cost_bounded_memory() {
    check_crowd(90, Conduct::Bodies).await;
}

/// Guards against answers of many streams that nobody reads. The connections
/// themselves are read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_on_many_streams_cost_bounded_memory() {
    check_crowd(91, Conduct::UnreadAnswers).await;
}
