//! Stand-in for the platform's store: reads, watches, and one revision counter.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    /// Value in base64, revision of the last write and of the creation, by key.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address).expect("the store's port is free");
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let value = base64(value.as_bytes());
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let event = item_json(key, &value, revision, created);
        state.events.push((revision, key.to_owned(), event));
        state
            .items
            .insert(key.to_owned(), (value, revision, created));
        drop(state);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let event = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
        state.events.push((revision, key.to_owned(), event));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut reader) = http::reader(&stream) else {
            return;
        };
        while let Ok(Some(request)) = http::read_head(&mut reader) {
            let Some((status, body)) = self.answer(request.second()) else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer; `None` if the connection is to be closed.
    fn answer(&self, target: &str) -> Option<(&'static str, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let fields: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, unescape(value)))
            .collect();
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        match path {
            "/-/kv-key" => match state.items.get(&field("key")) {
                Some((value, revision, created)) => {
                    let mut item = item_json(&field("key"), value, *revision, *created);
                    item.pop();
                    Some(("200 OK", format!(r#"{item},"at":{}}}"#, state.revision)))
                }
                None => Some(("404 Not Found", "{}".into())),
            },
            "/-/kv-range" => {
                let (prefix, after) = (field("prefix"), field("after"));
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, (value, revision, created))| {
                        item_json(key, value, *revision, *created)
                    })
                    .collect();
                let items = items.join(",");
                let at = state.revision;
                let page = format!(r#"{{"items":[{items}],"has_more":false,"at":{at}}}"#);
                Some(("200 OK", page))
            }
            "/-/kv-watch" => {
                let prefix = field("prefix");
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait: u64 = field("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                if after > state.revision {
                    return Some(("410 Gone", "{}".into()));
                }
                loop {
                    let events: Vec<&str> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(_, _, event)| event.as_str())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        let at = state.revision;
                        return Some(("200 OK", format!(r#"{{"events":[{events}],"at":{at}}}"#)));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some(("404 Not Found", "{}".into())),
        }
    }
}

fn item_json(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_revision":{created},"lease":0}}"#
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place > part.len() {
                text.push('=');
            } else {
                let digit = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
