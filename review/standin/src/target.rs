//! Stand-in for an application target.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::{Event, Record};

/// Requests that wait for a slot before further ones are rejected.
const QUEUE: usize = 20;
/// Time for which a connection may be idle.
const IDLE: Duration = Duration::from_secs(10);
/// Interval at which a running request looks whether its connection is closed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    ended: bool,
    leaving: bool,
    connections: Vec<TcpStream>,
    /// Paths of the running requests.
    paths: Vec<String>,
}

/// A target that works on `slots` requests at a time. A request whose path
/// holds a segment `w` and a number works for that many milliseconds.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Target {
    pub fn start(
        id: &str,
        address: SocketAddr,
        slots: usize,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let target = Self {
            id: id.to_owned(),
            address,
            slots,
            record: record.clone(),
            state: Arc::default(),
        };
        let own = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = own.state.0.lock().unwrap();
                if state.ended {
                    return;
                }
                state.connections.retain(|open| open.peer_addr().is_ok());
                if let Ok(copy) = stream.try_clone() {
                    state.connections.push(copy);
                }
                drop(state);
                let own = own.clone();
                std::thread::spawn(move || own.serve(Connection::new(stream)));
            }
        });
        Ok(target)
    }

    /// Marks the answers from now on with `connection: close`.
    pub fn leave(&self) {
        self.state.0.lock().unwrap().leaving = true;
    }

    /// Ends the target: closes its port and all its connections.
    pub fn end(&self) {
        let connections = {
            let mut state = self.state.0.lock().unwrap();
            state.ended = true;
            std::mem::take(&mut state.connections)
        };
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.state.1.notify_all();
    }

    /// Returns whether a request runs whose path begins with `prefix`.
    pub fn is_working_on(&self, prefix: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        state.paths.iter().any(|path| path.starts_with(prefix))
    }

    fn has_ended(&self) -> bool {
        self.state.0.lock().unwrap().ended
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(Instant::now() + IDLE) {
            if self.has_ended() || self.answer(&mut connection, &request).is_none() {
                break;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    /// Answers one request. Returns `None` if the connection is to be closed.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Option<()> {
        let id = request
            .header("x-savorylane-request-id")
            .unwrap_or_default();
        let echo = ("X-Savorylane-Request-Id", id);
        let expected = request.header("x-savorylane-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let own = ("X-Savorylane-Instance-Id", self.id.as_str());
            return connection
                .write("HTTP/1.1 421 Misdirected Request", &[echo, own], b"")
                .ok();
        }
        let not_run = ("X-Savorylane-Not-Executed", "1");
        if id.is_empty() {
            return connection
                .write("HTTP/1.1 400 Bad Request", &[not_run], b"")
                .ok();
        }
        let deadline_ms = request.header("x-savorylane-deadline-ms");
        let deadline_ms: u64 = deadline_ms.and_then(|ms| ms.parse().ok()).unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        if !self.take_slot(deadline) {
            return connection
                .write("HTTP/1.1 503 Service Unavailable", &[echo, not_run], b"")
                .ok();
        }
        self.record.add(Event::Run {
            id: id.to_owned(),
            target: self.id.clone(),
            bytes: request.body.len(),
        });
        let path = request.word(1);
        self.state.0.lock().unwrap().paths.push(path.to_owned());
        let end = Instant::now() + work(path);
        let outcome = loop {
            if self.has_ended() {
                self.record.add(Event::Cut {
                    id: id.to_owned(),
                    target: self.id.clone(),
                });
                break None;
            }
            let now = Instant::now();
            if now >= end {
                break Some("HTTP/1.1 200 OK");
            }
            if now >= deadline {
                break Some("HTTP/1.1 504 Gateway Timeout");
            }
            if connection.is_abandoned() {
                break None;
            }
            std::thread::sleep(CHECK_INTERVAL.min(end - now));
        };
        self.release_slot(path);
        let start = outcome?;
        let signature = format!("{}.{id}", self.id);
        let signature = ("X-Savorylane-Response-Signature", signature.as_str());
        let leaving = self.state.0.lock().unwrap().leaving;
        let mut headers = vec![echo, signature];
        if leaving {
            headers.push(("Connection", "close"));
        }
        let body = format!("{id} {} {}", request.word(0), path);
        connection.write(start, &headers, body.as_bytes()).ok()?;
        (!leaving).then_some(())
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.waiting >= QUEUE {
            return false;
        }
        state.waiting += 1;
        let mut taken = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if state.ended || left.is_zero() {
                break;
            }
            if state.running < self.slots {
                state.running += 1;
                taken = true;
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        state.waiting -= 1;
        taken
    }

    fn release_slot(&self, path: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.running -= 1;
        let running = state.paths.iter().position(|running| running == path);
        if let Some(index) = running {
            state.paths.swap_remove(index);
        }
        drop(state);
        self.state.1.notify_one();
    }
}

/// Returns for how long a request with this path works.
fn work(path: &str) -> Duration {
    let segments = path.split('/');
    let ms = segments
        .filter_map(|segment| segment.strip_prefix('w')?.parse().ok())
        .next();
    Duration::from_millis(ms.unwrap_or(40))
}
