//! Answers of another daemon that a caller reads slowly or not at all.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body::Frame;
use http_body_util::BodyExt;
use savorylane_daemon::body::{Body, Error};
use savorylane_daemon::call::Call;
use savorylane_daemon::dispatch::link::Monitor;
use savorylane_daemon::dispatch::remote::Clients;
use savorylane_daemon::edge::server::{self, Limits};
use savorylane_daemon::quota::{Quota, Sizes};
use savorylane_intent::document::Class;
use savorylane_policy::quota::{self, Peer};
use savorylane_wire::{Verdict, header};
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Size of a large answer in bytes.
const ANSWER_BYTES: usize = 500_000;
/// Size of one frame of an answer in bytes.
const FRAME_BYTES: usize = 10_000;
/// Concurrent answers that no caller reads.
const UNREAD_ANSWERS: usize = 32;
/// Maximum number of bytes that two daemons hold of one unread answer. A host
/// has 160 MB, and this leaves nine tenths of it for other work while a hundred
/// callers do not read.
const MAX_HELD_BYTES: usize = 160_000;
/// Limit of a wait, generous for a loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which buffers fill.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Body that counts the bytes that were taken from it.
struct Counted {
    remaining: usize,
    taken: Arc<AtomicUsize>,
}

impl http_body::Body for Counted {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let length = self.remaining.min(FRAME_BYTES);
        if length == 0 {
            return Poll::Ready(None);
        }
        self.remaining -= length;
        self.taken.fetch_add(length, Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![7; length])))))
    }
}

/// Starts the data port of a daemon that answers with as many bytes as the path
/// states. Returns its address and the number of bytes taken from all answers.
async fn spawn_daemon() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&taken);
    let handle = move |request: Request<Body>, _| {
        let body = Counted {
            remaining: request.uri().path()[1..].parse().unwrap(),
            taken: Arc::clone(&counter),
        };
        let mut answer = Response::new(body.boxed_unsync());
        let verdict = Verdict::Ran.as_str().parse().unwrap();
        answer.headers_mut().insert(header::VERDICT, verdict);
        std::future::ready(answer)
    };
    let stop = CancellationToken::new();
    let quota = Quota::new(
        "test",
        quota::Limits::new(quota::Listener::Data, 256, 8_192),
        Sizes {
            request: 16_384,
            answer: 131_072,
            receive: None,
        },
        |_| Peer::Host,
    );
    let limits = || Limits::DAEMONS;
    tokio::spawn(server::serve(listener, limits, quota, stop, handle));
    (address, taken)
}

/// Sends a call for an answer of `length` bytes, and returns its body.
async fn send(clients: &Clients, address: SocketAddr, length: usize) -> Body {
    let class: Class = serde_json::from_value(json!({
        "name": "read", "service": "back", "path_prefix": "/", "methods": ["GET"],
        "work": "short", "idempotent": true,
        "target": {"latency_ms": 1_000, "quantile": 0.99, "success": 0.99},
    }))
    .unwrap();
    let request = Request::get(format!("/{length}")).body(()).unwrap();
    let (head, ()) = request.into_parts();
    let caller = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let call = Call::parse(&head, &class, caller, Instant::now()).unwrap();
    let body = savorylane_daemon::body::empty();
    let monitor = Monitor::default();
    let sent = clients.send(address, &call, HeaderMap::new(), body, &monitor);
    let reply = tokio::time::timeout(WAIT_TIMEOUT, sent).await;
    let answer = reply.expect("the head of the answer arrives").result;
    answer.expect("an answer").into_body()
}

/// Returns the size of a body that is read to its end.
async fn read(body: Body) -> usize {
    let read = tokio::time::timeout(WAIT_TIMEOUT, body.collect()).await;
    let read = read.expect("the answer ends");
    read.expect("the answer is complete").to_bytes().len()
}

/// Guards against callers that do not read and block all others whose requests
/// share the connection between two daemons.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_do_not_block_others_on_their_connection() {
    let (address, _) = spawn_daemon().await;
    let clients = Clients::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    let mut unread = Vec::new();
    for _ in 0..UNREAD_ANSWERS {
        unread.push(send(&clients, address, ANSWER_BYTES).await);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let small = send(&clients, address, FRAME_BYTES).await;
    assert_eq!(read(small).await, FRAME_BYTES);
    let large = send(&clients, address, ANSWER_BYTES).await;
    assert_eq!(read(large).await, ANSWER_BYTES);
    for body in unread {
        assert_eq!(read(body).await, ANSWER_BYTES);
    }
}

/// Guards against daemons that hold whole answers for callers that do not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_bounded_part_of_an_unread_answer_is_held() {
    let (address, taken) = spawn_daemon().await;
    let clients = Clients::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
    let mut unread = Vec::new();
    for count in 1..=UNREAD_ANSWERS / 4 {
        unread.push(send(&clients, address, ANSWER_BYTES).await);
        tokio::time::sleep(SETTLE_TIME / 4).await;
        let held = taken.load(Ordering::Relaxed);
        assert!(
            held <= count * MAX_HELD_BYTES,
            "{held} bytes of {count} answers"
        );
    }
}
