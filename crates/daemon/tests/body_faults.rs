//! Answers that break off at the upstream.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use common::document;
use fleet::caller::{Caller, End, full_body};
use fleet::{Fleet, Member};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Length of the complete answer.
const BODY_BYTES: usize = 100_000;

/// How an upstream delimits an answer.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

/// How an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The complete answer is sent.
    Complete,
    /// The connection is closed after this many bytes of the body.
    Closed(usize),
    /// The connection is reset after this many bytes of the body.
    Reset(usize),
}

/// Starts an upstream that answers each request with `BODY_BYTES` bytes of
/// text, or breaks off as `ending` specifies.
async fn spawn_broken_upstream(
    framing: Framing,
    ending: Ending,
    cancel: &CancellationToken,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cancel = cancel.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = tokio::select! {
                accepted = listener.accept() => accepted.unwrap(),
                () = cancel.cancelled() => return,
            };
            tokio::spawn(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    match stream.read_u8().await {
                        Ok(byte) => head.push(byte),
                        Err(_) => return,
                    }
                }
                let sent = match ending {
                    Ending::Complete => BODY_BYTES,
                    Ending::Closed(bytes) | Ending::Reset(bytes) => bytes,
                };
                // Without `connection: close`, the next request could be sent
                // on this connection while it is being closed.
                let mut answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\n".to_vec();
                let body = vec![b'x'; sent];
                match framing {
                    Framing::Length => {
                        answer.extend(format!("content-length: {BODY_BYTES}\r\n\r\n").bytes());
                        answer.extend(&body);
                    }
                    Framing::Chunked => {
                        answer.extend(b"transfer-encoding: chunked\r\n\r\n");
                        for chunk in body.chunks(8_192) {
                            answer.extend(format!("{:x}\r\n", chunk.len()).bytes());
                            answer.extend(chunk);
                            answer.extend(b"\r\n");
                        }
                        if ending == Ending::Complete {
                            answer.extend(b"0\r\n\r\n");
                        }
                    }
                }
                let _ = stream.write_all(&answer).await;
                if let Ending::Reset(_) = ending {
                    // Lets the bytes be sent before the reset discards them.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let _ = stream.set_zero_linger();
                }
            });
        }
    });
    address
}

/// Guards against a truncated answer that looks complete to the caller. Covers
/// HTTP/1.1 and HTTP/2, and callers of the upstream's own daemon as well as of
/// one that forwards to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_is_never_complete_at_the_caller() {
    let endings = [
        Ending::Complete,
        Ending::Closed(0),
        Ending::Closed(1),
        Ending::Closed(8_192),
        Ending::Closed(BODY_BYTES - 1),
        Ending::Reset(50_000),
    ];
    for framing in [Framing::Length, Framing::Chunked] {
        for ending in endings {
            check_case(framing, ending).await;
        }
    }
    // A chunked answer of which only the last chunk is missing.
    check_case(Framing::Chunked, Ending::Closed(BODY_BYTES)).await;
}

/// Sends requests over both protocols and both daemons to an upstream that ends
/// its answers with `ending`, and checks what the callers get.
async fn check_case(framing: Framing, ending: Ending) {
    let mut fleet = Fleet::open();
    let upstream = spawn_broken_upstream(framing, ending, &fleet.cancel).await;
    // The second daemon serves another service, so it forwards all requests.
    for (host, service) in [("a1", "stock"), ("a2", "other")] {
        let member = Member::spawn(&fleet, host, |settings| {
            settings.upstream = upstream;
            settings.service = service.into();
        });
        fleet.members.push(member.await);
    }
    fleet.publish_hosts(1);
    fleet.platform.publish_document(&document(1));
    fleet.wait_for_document(1, Duration::from_secs(10)).await;
    for http2 in [false, true] {
        for member in &fleet.members {
            let caller = Caller::new(http2);
            let case = format!(
                "{framing:?} {ending:?} http2 {http2} {}",
                member.list_entry.name
            );
            let sent = caller.send(Method::GET, member.entry(), "/stock/x", full_body(b""));
            let answer = tokio::time::timeout(Duration::from_secs(8), sent).await;
            match answer.unwrap_or_else(|_| panic!("{case}: no answer within 8 s")) {
                Ok(answer) if ending == Ending::Complete => {
                    assert_eq!(answer.verdict, "ran", "{case}");
                    assert_eq!(answer.body.len(), BODY_BYTES, "{case}");
                }
                // Nothing of the answer was passed on, so the daemon could
                // refuse the request with the right verdict.
                Ok(answer) => {
                    assert_eq!(answer.verdict, "may-have-run", "{case}");
                    assert!(answer.status.is_server_error(), "{case}");
                }
                Err(End::Broken(_)) => assert_ne!(ending, Ending::Complete, "{case}"),
                Err(end) => panic!("{case}: {end:?}"),
            }
        }
    }
    fleet.stop();
}
