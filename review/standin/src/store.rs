//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Maximum number of items on one page.
const PAGE_ITEMS: usize = 500;
/// Time for which a connection may be idle.
const IDLE: Duration = Duration::from_secs(120);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events in the order of their revisions; `None` for a removal.
    events: Vec<(u64, String, Option<Item>)>,
}

/// A linearizable store that keeps its whole history.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Writes an item. The change is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: base64(value.as_bytes()),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.events.push((revision, key.to_owned(), Some(item)));
        self.state.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.to_owned(), None));
        self.state.1.notify_all();
    }

    /// Serves the store at `address` until the process ends.
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.serve_connection(Connection::new(stream)));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(Instant::now() + IDLE) {
            let target = request.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect();
            let (status, body) = match path {
                "/-/kv-key" => self.key(&query),
                "/-/kv-range" => self.range(&query),
                "/-/kv-watch" => self.watch(&query),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json")];
            let start = format!("HTTP/1.1 {status}");
            if connection.write(&start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let key = query.get("key").map_or("", String::as_str);
        match state.items.get(key) {
            Some(item) => {
                let text = item_json(key, item);
                let at = format!(",\"at\":{}}}", state.revision);
                ("200 OK", text[..text.len() - 1].to_owned() + &at)
            }
            None => ("404 Not Found", format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let state = self.state.0.lock().unwrap();
        let prefix = query.get("prefix").map_or("", String::as_str);
        let after = query.get("after").map_or("", String::as_str);
        let mut found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = found.len() > PAGE_ITEMS;
        found.truncate(PAGE_ITEMS);
        let items = found.join(",");
        let at = state.revision;
        (
            "200 OK",
            format!("{{\"items\":[{items}],\"has_more\":{more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let prefix = query.get("prefix").map_or("", String::as_str);
        let after: u64 = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let first = state
                .events
                .partition_point(|(revision, ..)| *revision <= after);
            let found: Vec<String> = state.events[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let at = state.revision;
                let events = found.join(",");
                return ("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
    } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"create_revision\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [
            group[0],
            *group.get(1).unwrap_or(&0),
            *group.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            if digit > group.len() {
                text.push('=');
                continue;
            }
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(char::from(DIGITS[index as usize]));
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        rest = tail;
        let hex = rest
            .get(..2)
            .and_then(|pair| std::str::from_utf8(pair).ok());
        match hex.and_then(|pair| u8::from_str_radix(pair, 16).ok()) {
            Some(decoded) if byte == b'%' => {
                bytes.push(decoded);
                rest = &rest[2..];
            }
            _ => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
