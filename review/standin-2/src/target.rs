//! Stand-in for a target.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::{self, Message, Reader};
use crate::world::Record;

/// What a target does with the requests of one connection, after their heads.
pub type Handler = dyn Fn(&mut Connection) + Send + Sync;

pub struct Connection {
    pub stream: TcpStream,
    pub reader: Reader,
    pub id: String,
    pub record: Arc<Record>,
}

impl Connection {
    /// Reads the next head; `None` at the end of the connection.
    pub fn head(&mut self) -> Option<Message> {
        http::read_head(&mut self.reader).ok()?
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Rejects a request that expects another target. Returns whether it did.
    pub fn misdirected(&mut self, request: &Message) -> bool {
        let expected = request.header("x-savorylane-expected-instance");
        if expected.is_none_or(|expected| expected == self.id) {
            return false;
        }
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Savorylane-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            self.id
        );
        self.send(answer.as_bytes());
        true
    }
}

/// Listens at `address` as the target `id`.
pub fn start(
    address: SocketAddr,
    id: &str,
    record: &Arc<Record>,
    handler: impl Fn(&mut Connection) + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("the target's port is free");
    let (id, record) = (id.to_owned(), Arc::clone(record));
    let handler: Arc<Handler> = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let Ok(reader) = http::reader(&stream) else {
                continue;
            };
            let (id, record) = (id.clone(), Arc::clone(&record));
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let mut connection = Connection {
                    stream,
                    reader,
                    id,
                    record,
                };
                handler(&mut connection);
            });
        }
    });
}

pub fn request_id(request: &Message) -> String {
    let id = request.header("x-savorylane-request-id");
    id.unwrap_or("(none)").to_owned()
}

/// Returns an answer of a target that ran the request `id`.
pub fn answer(id: &str, status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nX-Savorylane-Request-Id: {id}\r\nX-Savorylane-Response-Signature: 3e1b.{id}.{}\r\nContent-Length: {}\r\n\r\n",
        body.len(),
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns an answer of a target that is full and didn't run the request `id`.
pub fn full(id: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Savorylane-Request-Id: {id}\r\nX-Savorylane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
