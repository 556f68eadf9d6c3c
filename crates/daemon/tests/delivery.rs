//! Answers that are on their way when the server ends the connection. The peers
//! are sockets, so that the tests decide when they read and what they send
//! meanwhile.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use savorylane_daemon::body::{self, Body};
use savorylane_daemon::edge::server::{self, Limits};
use savorylane_daemon::quota::{Quota, Sizes};
use savorylane_policy::quota::{self, Peer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Limit of a wait, generous for a loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the server writes an answer, and ends the connection.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Size of an answer in bytes: more than the peer receives before it reads, and
/// less than the operating system buffers for the server.
const ANSWER_BYTES: usize = 150_000;
/// Maximum number of bytes that the peer receives before it reads.
const RECEIVE_BYTES: u32 = 8_192;

/// Types of frames.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
/// Flag of the answer to a PING or SETTINGS frame.
const ACK: u8 = 1;
/// Flags of a HEADERS frame that is a whole request.
const WHOLE: u8 = 5;
/// Header block of `GET http://a/`.
const REQUEST: &[u8] = &[0x82, 0x86, 0x84, 0x01, 0x01, b'a'];
/// Setting of the initial window of a stream, and the largest window.
const LARGEST_STREAM_WINDOW: &[u8] = &[0, 4, 0x7f, 0xff, 0xff, 0xff];
/// Window that is added to that of the connection.
const LARGE_WINDOW: &[u8] = &[0x40, 0, 0, 0];

struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: Vec<u8>,
}

struct Connection {
    stream: TcpStream,
}

/// Connects a peer that receives little before it reads.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

impl Connection {
    /// Connects, and sends a request on stream 1.
    async fn connect(address: SocketAddr) -> Self {
        let mut stream = connect(address).await;
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        stream.write_all(preface).await.unwrap();
        let mut peer = Self { stream };
        peer.send(SETTINGS, 0, 0, LARGEST_STREAM_WINDOW).await;
        peer.send(WINDOW_UPDATE, 0, 0, LARGE_WINDOW).await;
        peer.send(HEADERS, WHOLE, 1, REQUEST).await;
        peer
    }

    async fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
        let length = (payload.len() as u32).to_be_bytes();
        let mut frame = vec![length[1], length[2], length[3], kind, flags];
        frame.extend_from_slice(&stream.to_be_bytes());
        frame.extend_from_slice(payload);
        self.stream.write_all(&frame).await.unwrap();
    }

    /// Reads a frame; `None` at the end of the connection.
    async fn receive(&mut self) -> io::Result<Option<Frame>> {
        let mut head = [0; 9];
        let read = self.stream.read(&mut head[..1]);
        let read = tokio::time::timeout(WAIT_TIMEOUT, read).await;
        if read.expect("the server sends or closes")? == 0 {
            return Ok(None);
        }
        self.stream.read_exact(&mut head[1..]).await?;
        let [a, b, c, kind, flags, stream @ ..] = head;
        let mut payload = vec![0; u32::from_be_bytes([0, a, b, c]) as usize];
        self.stream.read_exact(&mut payload).await?;
        Ok(Some(Frame {
            kind,
            flags,
            stream: u32::from_be_bytes(stream),
            payload,
        }))
    }

    /// Answers frames until the server names the last stream that it accepts.
    async fn await_stop(&mut self) -> u32 {
        loop {
            let frame = self.receive().await.unwrap().expect("the server is there");
            match frame.kind {
                PING if frame.flags != ACK => self.send(PING, ACK, 0, &frame.payload).await,
                SETTINGS if frame.flags != ACK => self.send(SETTINGS, ACK, 0, &[]).await,
                GOAWAY => {
                    let last = frame.payload[..4].try_into().unwrap();
                    match u32::from_be_bytes(last) {
                        0x7fff_ffff => {}
                        last => return last,
                    }
                }
                _ => {}
            }
        }
    }
}

/// Starts a server whose answers wait to be released.
async fn spawn(released: &Arc<Semaphore>) -> (SocketAddr, CancellationToken, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let released = Arc::clone(released);
    let answer = move |_: Request<Body>, _: SocketAddr| {
        let released = Arc::clone(&released);
        async move {
            released.acquire().await.unwrap().forget();
            Response::new(body::full("x".repeat(ANSWER_BYTES)))
        }
    };
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
    let limits = || Limits::with_connections(16);
    let serving = server::serve(listener, limits, quota, stop.clone(), answer);
    (address, stop, tokio::spawn(serving))
}

/// Guards against an answer that is lost when a server stops: the operating
/// system discards what it has not sent if the connection is closed while
/// something of the peer is unread.
#[tokio::test]
async fn a_stop_delivers_the_answers_to_a_peer_that_still_sends() {
    let released = Arc::new(Semaphore::new(0));
    let (address, stop, serving) = spawn(&released).await;
    let mut peer = Connection::connect(address).await;
    tokio::time::sleep(SETTLE_TIME).await;
    stop.cancel();
    assert_eq!(peer.await_stop().await, 1);
    released.add_permits(1);
    tokio::time::sleep(SETTLE_TIME).await;
    // A request that crosses the end of the connection.
    peer.send(HEADERS, WHOLE, 3, REQUEST).await;
    tokio::time::sleep(SETTLE_TIME).await;
    let mut received = 0;
    loop {
        match peer.receive().await {
            Ok(Some(frame)) if frame.kind == DATA => {
                assert_eq!(frame.stream, 1);
                received += frame.payload.len();
            }
            Ok(Some(_)) => {}
            Ok(None) => break,
            Err(error) => panic!("{error} after {received} bytes"),
        }
    }
    assert_eq!(received, ANSWER_BYTES);
    drop(peer);
    tokio::time::timeout(WAIT_TIMEOUT, serving)
        .await
        .expect("the server ends")
        .unwrap();
}

/// Guards against the same at a caller of HTTP/1.1 that sends its next request
/// before it has read the answer.
#[tokio::test]
async fn a_stop_delivers_the_answer_to_a_caller_that_pipelines() {
    let released = Arc::new(Semaphore::new(0));
    let (address, stop, serving) = spawn(&released).await;
    let mut stream = connect(address).await;
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    tokio::time::sleep(SETTLE_TIME).await;
    stop.cancel();
    released.add_permits(1);
    tokio::time::sleep(SETTLE_TIME).await;
    stream.write_all(request).await.unwrap();
    tokio::time::sleep(SETTLE_TIME).await;
    let mut text = Vec::new();
    let read = stream.read_to_end(&mut text).await;
    let body = text.iter().rev().take_while(|byte| **byte == b'x').count();
    assert_eq!(body, ANSWER_BYTES, "{read:?}");
    drop(stream);
    tokio::time::timeout(WAIT_TIMEOUT, serving)
        .await
        .expect("the server ends")
        .unwrap();
}
