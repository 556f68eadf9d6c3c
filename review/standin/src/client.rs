//! Stand-in for the clients beside a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::{Event, Record};

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub kind: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// Gives each attempt of each client its own id.
#[derive(Clone)]
pub struct Ids(Arc<AtomicU64>);

impl Ids {
    pub fn new() -> Self {
        Self(Arc::new(AtomicU64::new(1)))
    }

    pub fn next(&self) -> String {
        format!("{:016x}", self.0.fetch_add(1, Ordering::Relaxed))
    }
}

/// Final answer of an attempt.
pub struct Outcome {
    pub status: Option<u16>,
    /// Time that a refusal asks the client to wait.
    pub retry_after: Option<Duration>,
}

/// Sends one attempt over `connection`, or over a new one, and waits for the
/// answer until the deadline. The connection is kept if it can be used again.
pub fn send(
    record: &Record,
    ids: &Ids,
    machine: usize,
    entry: SocketAddr,
    connection: &mut Option<Connection>,
    request: &Request,
) -> Outcome {
    let id = ids.next();
    let deadline = Instant::now() + request.deadline;
    let mut retry_after = None;
    record.add(Event::Sent {
        id: id.clone(),
        kind: request.kind,
        machine,
    });
    let status = (|| {
        let mut open = match connection.take() {
            Some(open) => open,
            None => Connection::open(entry, Duration::from_secs(1)).ok()?,
        };
        let ms = request.deadline.as_millis().to_string();
        let headers = [
            ("Host", request.host),
            ("X-Savorylane-Request-Id", id.as_str()),
            ("X-Savorylane-Deadline-Ms", ms.as_str()),
        ];
        let start = format!("{} {} HTTP/1.1", request.method, request.path);
        open.write(&start, &headers, &request.body).ok()?;
        let answer = open.read(deadline).ok()??;
        let wait = answer.header("retry-after");
        let wait: Option<f64> = wait.and_then(|text| text.parse().ok());
        retry_after = wait.map(Duration::from_secs_f64);
        if !answer.closes() {
            *connection = Some(open);
        }
        answer.status()
    })();
    record.add(Event::Answered { id, status });
    Outcome {
        status,
        retry_after,
    }
}
