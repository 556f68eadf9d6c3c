//! Requests that a caller sends before the answers ahead of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::header::CONTENT_LENGTH;
use http::{Method, Request, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use savorylane_daemon::body::{self, Body};
use savorylane_daemon::edge::server::{self, Callers, Early, Event, Limits, MAX_STARTED};
use savorylane_daemon::intake::Intake;
use savorylane_policy::intake;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Limit of a wait, generous for a loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a request that was not started is taken for held back.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Head timeout of the server in the test of timeouts.
const HEAD_TIMEOUT: Duration = Duration::from_millis(200);
/// Size of an uploaded body in bytes, larger than what is read ahead.
const BODY_BYTES: usize = 100_000;
/// Memory of the process in megabytes, far above what the tests need.
const MEMORY_MB: u64 = 160;
/// Descriptors of the process.
const DESCRIPTORS: usize = 4_100;

/// A server whose requests of paths below `/wait` wait to be released, and whose
/// answers to paths below `/part` wait before and in the middle. GET requests are
/// idempotent unless their path starts with `/order`.
struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    probe: Arc<Probe>,
    serving: JoinHandle<()>,
}

#[derive(Default)]
struct Probe {
    started: Mutex<Vec<String>>,
    events: Mutex<Vec<Event>>,
    running: AtomicUsize,
    released: Option<Semaphore>,
}

/// Counts a request as running until it is answered or cancelled.
struct Running(Arc<Probe>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Probe {
    fn started(&self) -> Vec<String> {
        self.started.lock().unwrap().clone()
    }

    fn count(&self, event: Event) -> usize {
        let events = self.events.lock().unwrap();
        events.iter().filter(|&&other| other == event).count()
    }

    fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    async fn wait_for_release(&self) {
        let released = self.released.as_ref().unwrap().acquire().await;
        released.unwrap().forget();
    }

    fn release(&self, count: usize) {
        self.released.as_ref().unwrap().add_permits(count);
    }
}

/// Answers a request with its path and the size of its body.
async fn answer(probe: Arc<Probe>, request: Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    probe.started.lock().unwrap().push(path.clone());
    probe.running.fetch_add(1, Ordering::Relaxed);
    let _running = Running(Arc::clone(&probe));
    let size = match request.into_body().collect().await {
        Ok(body) => body.to_bytes().len(),
        Err(_) => 0,
    };
    if path.starts_with("/wait") || path.starts_with("/part") {
        probe.wait_for_release().await;
    }
    if path.starts_with("/part") {
        let parts = [format!("<{path} "), format!("{size}>")];
        return in_two_parts(probe, parts);
    }
    Response::new(body::full(format!("<{path} {size}>")))
}

/// Returns an answer whose second part waits to be released.
fn in_two_parts(probe: Arc<Probe>, parts: [String; 2]) -> Response<Body> {
    let length = parts.iter().map(String::len).sum::<usize>();
    let [first, second] = parts.map(|part| Ok(Frame::data(Bytes::from(part))));
    let second = async move {
        probe.wait_for_release().await;
        second
    };
    let first = stream::once(std::future::ready(first));
    let body = StreamBody::new(first.chain(stream::once(second))).boxed_unsync();
    let answer = Response::builder().header(CONTENT_LENGTH, length);
    answer.body(body).unwrap()
}

impl Server {
    async fn spawn() -> Self {
        Self::spawn_with(Limits::CALLERS).await
    }

    async fn spawn_with(limits: Limits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        let probe = Arc::new(Probe {
            released: Some(Semaphore::new(0)),
            ..Probe::default()
        });
        let observer = Arc::clone(&probe);
        let limits_of_callers = intake::Limits::new(MEMORY_MB, DESCRIPTORS);
        let early = Early::new(
            limits_of_callers.early_answers(),
            |head| head.method == Method::GET && !head.uri.path().starts_with("/order"),
            move |event| observer.events.lock().unwrap().push(event),
        );
        let serving = Arc::clone(&probe);
        let handle = move |request, _| answer(Arc::clone(&serving), request);
        let token = stop.clone();
        let callers = Callers {
            early,
            intake: Intake::new(limits_of_callers),
        };
        let serving = tokio::spawn(server::serve_callers(
            listener,
            move || limits,
            callers,
            token,
            handle,
        ));
        Self {
            address,
            stop,
            probe,
            serving,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Waits until these requests, and no others, were started in this order.
    async fn expect_started(&self, paths: &[&str]) {
        wait_until(|| self.probe.started().len() >= paths.len()).await;
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(self.probe.started(), paths);
    }
}

async fn wait_until(mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the condition does not hold"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn write(stream: &mut TcpStream, requests: &[String]) {
    stream
        .write_all(requests.concat().as_bytes())
        .await
        .unwrap();
}

/// Reads until `end` arrives, or to the end of the connection.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut part = [0; 4_096];
    while !String::from_utf8_lossy(&text).contains(end) {
        let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut part));
        match read.await.expect("the server sends or closes") {
            Ok(0) | Err(_) => break,
            Ok(length) => text.extend_from_slice(&part[..length]),
        }
    }
    String::from_utf8(text).unwrap()
}

/// Returns the bodies in the order of their answers.
fn bodies(text: &str) -> Vec<&str> {
    let parts = text.split('<').skip(1);
    parts.filter_map(|part| part.split('>').next()).collect()
}

/// Guards against pipelined requests that wait for each other, and against
/// answers that overtake a slow one.
#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    write(&mut stream, &[get("/wait/1"), get("/2"), get("/wait/3")]).await;
    server.expect_started(&["/wait/1", "/2", "/wait/3"]).await;
    write(&mut stream, &[get("/4")]).await;
    server
        .expect_started(&["/wait/1", "/2", "/wait/3", "/4"])
        .await;
    server.probe.release(2);
    let text = read_until(&mut stream, "</4 0>").await;
    assert_eq!(bodies(&text), ["/wait/1 0", "/2 0", "/wait/3 0", "/4 0"]);
    assert_eq!(server.probe.started().len(), 4);
    assert_eq!(server.probe.count(Event::Started), 3);
    assert_eq!(server.probe.count(Event::Cancelled), 0);
}

/// Guards against cost and early starts on connections without pipelining.
#[tokio::test]
async fn a_request_after_an_answer_is_not_started_early() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    for _ in 0..3 {
        write(&mut stream, &[get("/1")]).await;
        assert_eq!(bodies(&read_until(&mut stream, ">").await), ["/1 0"]);
        write(&mut stream, &[post("/2", "body")]).await;
        assert_eq!(bodies(&read_until(&mut stream, ">").await), ["/2 4"]);
    }
    assert_eq!(server.probe.count(Event::Started), 0);
}

/// Guards against one connection that starts any number of requests.
#[tokio::test]
async fn a_connection_starts_a_bounded_number_of_requests_early() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    let count = 3 * MAX_STARTED;
    let paths: Vec<_> = (0..count).map(|number| format!("/wait/{number}")).collect();
    let requests: Vec<_> = paths.iter().map(|path| get(path)).collect();
    write(&mut stream, &requests).await;
    let first: Vec<_> = paths
        .iter()
        .map(String::as_str)
        .take(1 + MAX_STARTED)
        .collect();
    server.expect_started(&first).await;
    server.probe.release(count);
    let last = format!("</wait/{} 0>", count - 1);
    let text = read_until(&mut stream, &last).await;
    let expected: Vec<_> = paths.iter().map(|path| format!("{path} 0")).collect();
    assert_eq!(bodies(&text), expected);
    assert_eq!(server.probe.started(), paths);
}

/// Guards against a request that must run at most once and is started although
/// an answer ahead of it can close the connection, and against a request behind
/// it that overtakes it.
#[tokio::test]
async fn requests_that_are_not_idempotent_wait_for_their_turn() {
    for other in [get("/order"), post("/post", "body")] {
        let server = Server::spawn().await;
        let mut stream = server.connect().await;
        let requests = [get("/wait/1"), get("/2"), other, get("/3")];
        write(&mut stream, &requests).await;
        server.expect_started(&["/wait/1", "/2"]).await;
        server.probe.release(1);
        let text = read_until(&mut stream, "</3 0>").await;
        assert_eq!(bodies(&text).len(), 4, "{text}");
        assert_eq!(server.probe.started().len(), 4);
    }
}

/// Guards against the body of a pipelined request that is taken for requests,
/// also if it looks like some.
#[tokio::test]
async fn the_body_of_a_pipelined_request_stays_whole() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    let smuggled = get("/smuggled").repeat(BODY_BYTES / get("/smuggled").len());
    let requests = [get("/wait/1"), post("/2", &smuggled), get("/3"), get("/4")];
    let (mut reader, mut writer) = stream.split();
    let text = requests.concat();
    let release = async {
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(server.probe.started(), ["/wait/1"]);
        server.probe.release(1);
    };
    let read = async {
        let mut text = String::new();
        while !text.contains("</4 0>") {
            let mut part = [0; 4_096];
            let length = reader.read(&mut part).await.unwrap();
            assert!(length > 0, "{text}");
            text.push_str(std::str::from_utf8(&part[..length]).unwrap());
        }
        text
    };
    let exchange = async { tokio::join!(writer.write_all(text.as_bytes()), release, read) };
    let (written, (), text) = tokio::time::timeout(WAIT_TIMEOUT, exchange).await.unwrap();
    written.unwrap();
    let second = format!("/2 {}", smuggled.len());
    assert_eq!(bodies(&text), ["/wait/1 0", &second, "/3 0", "/4 0"]);
    assert_eq!(server.probe.started(), ["/wait/1", "/2", "/3", "/4"]);
}

/// Guards against requests that are passed on although they count as not read:
/// those behind an answer that closes the connection.
#[tokio::test]
async fn requests_behind_a_closing_request_are_not_started() {
    let server = Server::spawn().await;
    for closing in [
        "GET /wait/last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        "GET /wait/last HTTP/1.0\r\nhost: a\r\nconnection: keep-alive\r\n\r\n",
    ] {
        server.probe.started.lock().unwrap().clear();
        let mut stream = server.connect().await;
        write(&mut stream, &[get("/wait/1"), closing.into(), get("/2")]).await;
        server.expect_started(&["/wait/1"]).await;
        server.probe.release(1);
        server.expect_started(&["/wait/1", "/wait/last"]).await;
        server.probe.release(1);
        if closing.contains("close") {
            let text = read_until(&mut stream, "</2").await;
            assert_eq!(bodies(&text), ["/wait/1 0", "/wait/last 0"]);
            assert_eq!(server.probe.started(), ["/wait/1", "/wait/last"]);
        }
    }
}

/// Guards against a stop that costs requests their answers because they were
/// started behind another one, and against requests that are started while the
/// server stops.
#[tokio::test]
async fn a_stop_answers_all_requests_that_were_started() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    let started = ["/wait/1", "/wait/2", "/wait/3"];
    write(&mut stream, &started.map(get)).await;
    server.expect_started(&started).await;
    server.stop.cancel();
    write(&mut stream, &[get("/4")]).await;
    server.expect_started(&started).await;
    let mut text = String::new();
    for path in &started[..2] {
        server.probe.release(1);
        text += &read_until(&mut stream, &format!("<{path} 0>")).await;
        // The server closes the connection some time after the stop.
        tokio::time::sleep(SETTLE_TIME).await;
        assert!(!text.contains("connection: close"), "{text}");
    }
    server.probe.release(1);
    text += &read_until(&mut stream, "</4").await;
    assert_eq!(bodies(&text), ["/wait/1 0", "/wait/2 0", "/wait/3 0"]);
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
    assert_eq!(server.probe.count(Event::Cancelled), 0);
    assert_eq!(server.probe.running(), 0);
    assert_eq!(server.probe.started(), started);
}

/// Guards against a stop that waits for requests behind a caller that has left,
/// or for the next request of one that stays.
#[tokio::test]
async fn a_stop_does_not_wait_behind_the_last_started_request() {
    let server = Server::spawn().await;
    let mut leaving = server.connect().await;
    write(&mut leaving, &[get("/wait/1"), get("/wait/2")]).await;
    server.expect_started(&["/wait/1", "/wait/2"]).await;
    server.stop.cancel();
    tokio::time::sleep(SETTLE_TIME).await;
    drop(leaving);
    wait_until(|| server.probe.running() == 0).await;
    wait_until(|| server.serving.is_finished()).await;
}

/// Guards against a started request that is lost because the answer ahead of it
/// began before the stop.
#[tokio::test]
async fn a_stop_during_an_answer_answers_the_requests_behind_it() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    write(&mut stream, &[get("/part/1"), get("/wait/2")]).await;
    server.expect_started(&["/part/1", "/wait/2"]).await;
    server.probe.release(1);
    let start = read_until(&mut stream, "</part/1 ").await;
    server.stop.cancel();
    tokio::time::sleep(SETTLE_TIME).await;
    server.probe.release(2);
    let text = start + &read_until(&mut stream, "</3").await;
    assert_eq!(bodies(&text), ["/part/1 0", "/wait/2 0"]);
    assert_eq!(server.probe.count(Event::Cancelled), 0);
    wait_until(|| server.serving.is_finished()).await;
}

/// Guards against work for a caller that has left with several requests
/// pending, of which the library holds one or more unread.
#[tokio::test]
async fn a_caller_that_leaves_cancels_all_its_requests() {
    let large = "x".repeat(BODY_BYTES);
    let cases = [
        vec![get("/wait/1")],
        vec![get("/wait/1"), get("/wait/2"), get("/wait/3")],
        vec![get("/wait/1"), post("/wait/2", "body"), get("/wait/3")],
        vec![post("/wait/1", "body"), get("/wait/2")],
        vec![post("/wait/1", &large), get("/wait/2"), get("/wait/3")],
    ];
    for requests in cases {
        let server = Server::spawn().await;
        let mut stream = server.connect().await;
        write(&mut stream, &requests).await;
        wait_until(|| server.probe.running() > 0).await;
        tokio::time::sleep(SETTLE_TIME).await;
        drop(stream);
        wait_until(|| server.probe.running() == 0).await;
    }
}

/// Guards against a malformed request that costs the answers ahead of it, and
/// against bytes behind it that are taken for requests.
#[tokio::test]
async fn a_malformed_request_ends_the_connection_in_its_turn() {
    let server = Server::spawn().await;
    let mut stream = server.connect().await;
    let malformed = "GET /bad path HTTP/1.1\r\n\r\n".to_owned();
    let requests = [get("/wait/1"), get("/2"), malformed, get("/3")];
    write(&mut stream, &requests).await;
    server.expect_started(&["/wait/1", "/2"]).await;
    server.probe.release(1);
    let text = read_until(&mut stream, "</3").await;
    assert_eq!(bodies(&text), ["/wait/1 0", "/2 0"]);
    assert!(text.contains("HTTP/1.1 400"), "{text}");
    assert_eq!(server.probe.started(), ["/wait/1", "/2"]);
}

/// Guards against a request that times out, or is lost, while it waits for its
/// turn, and against heads that arrive in parts.
#[tokio::test]
async fn heads_in_parts_and_long_waits_do_not_end_the_connection() {
    let limits = Limits {
        head_timeout: HEAD_TIMEOUT,
        ..Limits::CALLERS
    };
    let server = Server::spawn_with(limits).await;
    let mut stream = server.connect().await;
    let requests = [get("/wait/1"), get("/wait/2"), get("/3"), get("/4")].concat();
    // No part ends with a request, and some end within the end of a head.
    let length = get("/wait/1").len();
    let cuts = [
        0,
        length - 1,
        length + 3,
        2 * length - 2,
        3 * length,
        requests.len(),
    ];
    for cut in cuts.windows(2) {
        let part = &requests.as_bytes()[cut[0]..cut[1]];
        stream.write_all(part).await.unwrap();
        tokio::time::sleep(HEAD_TIMEOUT / 10).await;
    }
    tokio::time::sleep(2 * HEAD_TIMEOUT).await;
    server.probe.release(1);
    tokio::time::sleep(2 * HEAD_TIMEOUT).await;
    server.probe.release(1);
    let text = read_until(&mut stream, "</4 0>").await;
    assert_eq!(bodies(&text), ["/wait/1 0", "/wait/2 0", "/3 0", "/4 0"]);
}

/// Guards against a connection that keeps its place forever with a part of a
/// head behind a request.
#[tokio::test]
async fn a_part_of_a_head_behind_a_request_times_out() {
    let limits = Limits {
        head_timeout: HEAD_TIMEOUT,
        ..Limits::CALLERS
    };
    let server = Server::spawn_with(limits).await;
    let mut stream = server.connect().await;
    write(&mut stream, &[get("/wait/1"), "GET /2 HT".into()]).await;
    server.expect_started(&["/wait/1"]).await;
    server.probe.release(1);
    let text = read_until(&mut stream, "no such text").await;
    assert_eq!(bodies(&text), ["/wait/1 0"]);
}
