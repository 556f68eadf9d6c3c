//! Stop of the HTTP server that the edges share.
//!
//! The peers are blocking sockets on the server's only thread. Bytes that they
//! write before they yield are therefore unread in the operating system's
//! buffers when the server stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use http::{Request, Response};
use savorylane_daemon::body::{self, Body};
use savorylane_daemon::edge::server::{self, Limits};
use savorylane_daemon::quota::{Quota, Sizes};
use savorylane_policy::quota::{self, Peer};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time within which a server without requests must stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of a request body in bytes.
const BODY_BYTES: usize = 400_000;
/// Size of one part of the body in bytes.
const PART_BYTES: usize = 20_000;
/// Time between two parts of the body.
const PART_INTERVAL: Duration = Duration::from_millis(10);
/// Request without a body.
const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";

struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Starts a server that answers each request with `answered`.
async fn spawn(limits: Limits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let answer = |_: Request<Body>, _: SocketAddr| async { Response::new(body::full("answered")) };
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
    let task = tokio::spawn(server::serve(
        listener,
        move || limits,
        quota,
        stop.clone(),
        answer,
    ));
    tokio::task::yield_now().await;
    Server {
        address,
        stop,
        task,
    }
}

/// Reads one answer. Returns an empty string if the server closes the
/// connection first.
async fn read_answer(stream: &TcpStream) -> String {
    let mut stream = stream.try_clone().unwrap();
    let read = tokio::task::spawn_blocking(move || {
        stream.set_read_timeout(Some(STOP_TIMEOUT)).unwrap();
        let mut text = Vec::new();
        let mut part = [0; 1024];
        while !text.ends_with(b"answered") {
            match stream.read(&mut part) {
                Ok(0) | Err(_) => break,
                Ok(length) => text.extend_from_slice(&part[..length]),
            }
        }
        String::from_utf8(text).unwrap()
    });
    read.await.unwrap()
}

/// Limits of ports on the adapted platform and of other ports.
const LIMITS: [fn() -> Limits; 2] = [|| Limits::CALLERS, || Limits::with_connections(16)];

/// Guards against a stop that resets connections which the operating system has
/// accepted and whose first request is still unread.
#[tokio::test]
async fn a_stop_answers_the_first_request_of_a_new_connection() {
    for limits in LIMITS {
        let server = spawn(limits()).await;
        let mut streams = Vec::new();
        for _ in 0..8 {
            let mut stream = TcpStream::connect(server.address).unwrap();
            stream.write_all(REQUEST).unwrap();
            streams.push(stream);
        }
        server.stop.cancel();
        for stream in &streams {
            let text = read_answer(stream).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
        }
        tokio::time::timeout(STOP_TIMEOUT, server.task)
            .await
            .unwrap()
            .unwrap();
    }
}

/// Guards against a stop that closes a persistent connection on which the next
/// request has already arrived, and against an answer after the stop that does
/// not close the connection.
#[tokio::test]
async fn a_stop_answers_the_next_request_of_a_kept_connection() {
    for limits in LIMITS {
        let server = spawn(limits()).await;
        let mut stream = TcpStream::connect(server.address).unwrap();
        stream.write_all(REQUEST).unwrap();
        let first = read_answer(&stream).await;
        assert!(first.starts_with("HTTP/1.1 200"), "{first:?}");
        assert!(!first.contains("connection: close"), "{first:?}");
        stream.write_all(REQUEST).unwrap();
        server.stop.cancel();
        let next = read_answer(&stream).await;
        assert!(next.starts_with("HTTP/1.1 200"), "{next:?}");
        assert!(next.contains("connection: close"), "{next:?}");
        tokio::time::timeout(STOP_TIMEOUT, server.task)
            .await
            .unwrap()
            .unwrap();
    }
}

/// Guards against a stop that waits for idle connections.
#[tokio::test]
async fn a_stop_closes_idle_connections() {
    for limits in LIMITS {
        let server = spawn(limits()).await;
        let unused = TcpStream::connect(server.address).unwrap();
        let mut persistent = TcpStream::connect(server.address).unwrap();
        persistent.write_all(REQUEST).unwrap();
        assert!(read_answer(&persistent).await.starts_with("HTTP/1.1 200"));
        server.stop.cancel();
        tokio::time::timeout(STOP_TIMEOUT, server.task)
            .await
            .unwrap()
            .unwrap();
        assert_eq!(read_answer(&unused).await, "");
        assert_eq!(read_answer(&persistent).await, "");
    }
}

/// Guards against a lost answer when the server closes a connection on which a
/// body is still arriving. The close resets the connection, and the caller then
/// reads an error instead of the answer.
#[tokio::test]
async fn an_answer_before_the_end_of_a_body_is_delivered() {
    for limits in LIMITS {
        let server = spawn(limits()).await;
        let stream = TcpStream::connect(server.address).unwrap();
        let mut sender = stream.try_clone().unwrap();
        let sent = tokio::task::spawn_blocking(move || {
            let head =
                format!("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            sender.write_all(head.as_bytes()).unwrap();
            for _ in 0..BODY_BYTES / PART_BYTES {
                sender.write_all(&[7; PART_BYTES]).unwrap();
                std::thread::sleep(PART_INTERVAL);
            }
        });
        sent.await.expect("the server reads the whole body");
        let text = read_answer(&stream).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
        server.stop.cancel();
        drop(stream);
        tokio::time::timeout(STOP_TIMEOUT, server.task)
            .await
            .unwrap()
            .unwrap();
    }
}
