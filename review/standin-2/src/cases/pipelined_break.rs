//! A target breaks off some of its large answers, and the clients have sent
//! further safe requests behind them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{config, machine, route};
use crate::world::{Record, World};
use crate::{http, target};

const CLIENTS: usize = 20;
/// Time for which the target breaks off answers, each time.
const LASTS: Duration = Duration::from_millis(5_500);
/// Time between two such times.
const PAUSE: Duration = Duration::from_secs(2);
/// Work of a target for one request.
const WORK: Duration = Duration::from_millis(100);
const DOWNLOAD_BYTES: usize = 90_000;
/// Bytes of a download that come before it is broken off.
const BROKEN_BYTES: usize = 80_000;
/// One in this many answers is broken off.
const BROKEN_EVERY: usize = 50;
/// Requests that may be lost.
const MAX_LOST: usize = 3;

#[derive(Clone, Copy, Default)]
struct Fate {
    /// Whether a sound target ran it.
    ran: bool,
    answered: bool,
}

#[derive(Default)]
struct State {
    fates: BTreeMap<String, Fate>,
    answers: usize,
    broken: usize,
    /// Whether the faulty target breaks off answers now.
    breaking: bool,
}

pub fn run(record: &str) {
    let mut world = World::start(record, &[("central-a", "scot-central")]);
    let machines = [
        machine(1, "central-a", "scot-central", "album"),
        machine(2, "central-a", "scot-central", "archive"),
        machine(3, "central-a", "scot-central", "archive"),
        machine(4, "central-a", "scot-central", "archive"),
    ];
    let routes = [
        route("download", "download", 5.0, 0.8, "archive"),
        route("view", "safe", 4.0, 0.6, "album"),
    ];
    world
        .store
        .put("op/config", &config(7, &routes, &["album", "archive"]));
    let state = Arc::new(Mutex::new(State::default()));
    let trouble = world.trouble;
    for machine in &machines {
        let id = format!("i-{}", machine.number);
        let state = Arc::clone(&state);
        let faulty = machine.number == 2 && trouble;
        target::start(
            world.app(machine.number),
            &id,
            &world.record,
            move |connection| {
                while let Some(request) = connection.head() {
                    if connection.misdirected(&request) {
                        return;
                    }
                    let id = target::request_id(&request);
                    let large = request.second().starts_with("/download");
                    let breaks = {
                        let mut state = state.lock().unwrap();
                        if !faulty {
                            state.fates.entry(id.clone()).or_default().ran = true;
                        }
                        state.answers += usize::from(faulty);
                        let breaks = faulty && state.answers % BROKEN_EVERY == 0;
                        state.broken += usize::from(breaks);
                        breaks
                    };
                    thread::sleep(WORK);
                    let body = vec![b'd'; if large { DOWNLOAD_BYTES } else { 400 }];
                    let mut answer = target::answer(&id, "200 OK", &body);
                    if breaks {
                        answer.truncate(BROKEN_BYTES);
                        connection.record.line(format!(
                            "target {}: breaks off its answer to {id}",
                            connection.id
                        ));
                    }
                    if !connection.send(&answer) || breaks {
                        return;
                    }
                }
            },
        );
        world.register(machine, &id, 13, "ready", 1);
        world.spawn(machine);
    }
    world.await_ready(&[1, 2, 3, 4]);
    thread::sleep(Duration::from_secs(1));
    let until = Instant::now() + LASTS * 2 + PAUSE;
    let breaking = Arc::clone(&state);
    thread::spawn(move || {
        for _ in 0..2 {
            breaking.lock().unwrap().breaking = true;
            thread::sleep(LASTS);
            breaking.lock().unwrap().breaking = false;
            thread::sleep(PAUSE);
        }
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (entry, record) = (world.outbound(1), Arc::clone(&world.record));
            let state = Arc::clone(&state);
            thread::spawn(move || {
                let mut pair = 0;
                while Instant::now() < until {
                    serve_pairs(entry, client, &mut pair, until, &state, &record);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    let state = state.lock().unwrap();
    let lost: Vec<String> = state
        .fates
        .iter()
        .filter(|(_, fate)| fate.ran && !fate.answered)
        .map(|(id, _)| id.clone())
        .collect();
    let served = state.fates.values().filter(|fate| fate.answered).count();
    let (answers, broken) = (state.answers, state.broken);
    drop(state);
    for id in &lost {
        world.record.line(format!("LOST: {id} was passed on to a sound target, and its connection was closed without an answer"));
    }
    world.record.line(format!("{served} answered; {broken} of {answers} answers of the faulty target broken off; {} lost at sound targets", lost.len()));
    if served == 0 {
        world.fail("no request was answered".into());
    }
    world.end(lost.len() > MAX_LOST);
}

/// Sends pairs of requests on one connection until it closes.
fn serve_pairs(
    entry: SocketAddr,
    client: usize,
    pair: &mut usize,
    until: Instant,
    state: &Mutex<State>,
    record: &Record,
) {
    let Ok(mut stream) = http::connect(entry) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let Ok(mut reader) = http::reader(&stream) else {
        return;
    };
    while Instant::now() < until {
        *pair += 1;
        let ids = [format!("c{client}p{pair}a"), format!("c{client}p{pair}b")];
        for (id, path) in ids.iter().zip(["download", "view"]) {
            let request = format!(
                "GET /{path}/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: {id}\r\nX-Savorylane-Deadline-Ms: 4000\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).is_err() {
                return;
            }
        }
        for id in &ids {
            let answer = http::read_answer(&mut reader).filter(|answer| answer.whole);
            let Some(answer) = answer else {
                record.line(format!(
                    "client {client}: the connection ended before the whole answer to {id}"
                ));
                return;
            };
            // An answer of the system itself counts as an answer.
            let own = answer.header("x-savorylane-request-id") == Some(id);
            state
                .lock()
                .unwrap()
                .fates
                .entry(id.clone())
                .or_default()
                .answered = own;
        }
    }
}
