//! A machine is told to stop while clients have safe requests on its
//! connections that were sent before the first one was answered.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{config, machine, route};
use crate::world::World;
use crate::{http, target};

/// Clients of the machine that is stopped.
const CLIENTS: usize = 5;
/// Work of a target for one request.
const WORK: Duration = Duration::from_millis(700);
/// Time after which the platform kills a process that was told to stop.
const GRACE: Duration = Duration::from_secs(6);

/// What became of a request.
#[derive(Clone, Copy, Default)]
struct Fate {
    /// When a target began to run it.
    ran: Option<Instant>,
    /// Whether the client has its whole answer.
    answered: bool,
}

type Fates = Arc<Mutex<BTreeMap<String, Fate>>>;

pub fn run(record: &str) {
    let mut world = World::start(record, &[("central-a", "scot-central")]);
    let machines = [
        machine(1, "central-a", "scot-central", "album"),
        machine(2, "central-a", "scot-central", "album"),
    ];
    let routes = [route("view", "safe", 2.0, 0.6, "album")];
    world
        .store
        .put("op/config", &config(7, &routes, &["album"]));
    let fates = Fates::default();
    for machine in &machines {
        let id = format!("i-{}", machine.number);
        let fates = Arc::clone(&fates);
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
                    connection
                        .record
                        .line(format!("target {}: runs {id}", connection.id));
                    fates.lock().unwrap().entry(id.clone()).or_default().ran = Some(Instant::now());
                    thread::sleep(WORK);
                    if !connection.send(&target::answer(&id, "200 OK", b"photos")) {
                        return;
                    }
                }
            },
        );
        world.register(machine, &id, 13, "ready", 1);
        world.spawn(machine);
    }
    world.await_ready(&[1, 2]);
    thread::sleep(Duration::from_secs(1));
    let (stopping, done) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (entry, record) = (world.outbound(1), Arc::clone(&world.record));
            let (fates, stopping) = (Arc::clone(&fates), Arc::clone(&stopping));
            thread::spawn(move || {
                // The clients aren't in step.
                thread::sleep(WORK * client as u32 / CLIENTS as u32);
                let mut pair = 0;
                while !stopping.load(Ordering::Relaxed) {
                    pair += 1;
                    serve_pairs(entry, client, &mut pair, &stopping, &fates, &record);
                }
            })
        })
        .collect();
    let hits = Arc::new(AtomicUsize::new(0));
    let prober = {
        let (ready, done) = (world.ready(1), Arc::clone(&done));
        let (stopping, record) = (Arc::clone(&stopping), Arc::clone(&world.record));
        let hits = Arc::clone(&hits);
        thread::spawn(move || {
            let mut misses = 0;
            while !done.load(Ordering::Relaxed) {
                let probe = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
                let answer = http::exchange(ready, probe, Duration::from_millis(500));
                let hit = answer.is_some_and(|answer| answer.status() == 200);
                hits.fetch_add(usize::from(hit), Ordering::Relaxed);
                misses = if hit { 0 } else { misses + 1 };
                if misses == 2 {
                    record.line("platform: two misses, the clients get no new work");
                    stopping.store(true, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_secs(1));
            }
        })
    };
    // The machine is told to stop just after a question of the platform, so that
    // its clients get new work for nearly two seconds more.
    while hits.load(Ordering::Relaxed) < 4 {
        thread::sleep(Duration::from_millis(10));
    }
    if world.trouble {
        world.signal(1, "TERM");
        let told = Instant::now();
        while world.is_running(1) && told.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(20));
        }
        let still = world.is_running(1);
        world.record.line(format!(
            "machine 1: running {still} after {:?}",
            told.elapsed()
        ));
    } else {
        thread::sleep(Duration::from_secs(4));
    }
    stopping.store(true, Ordering::Relaxed);
    done.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = prober.join();
    let fates = fates.lock().unwrap().clone();
    let served = fates.values().filter(|fate| fate.answered).count();
    let lost: Vec<&String> = fates
        .iter()
        .filter(|(_, fate)| fate.ran.is_some() && !fate.answered)
        .map(|(id, _)| id)
        .collect();
    for id in &lost {
        world.record.line(format!(
            "BROKEN: {id} was passed on to a target, and its connection ended without an answer"
        ));
    }
    world.record.line(format!(
        "{served} answered, {} passed on and lost",
        lost.len()
    ));
    if served == 0 {
        world.fail("no request was answered".into());
    }
    let broken = !lost.is_empty();
    world.end(broken);
}

/// Sends pairs of requests on one connection until it closes or the client gets
/// no new work.
fn serve_pairs(
    entry: std::net::SocketAddr,
    client: usize,
    pair: &mut usize,
    stopping: &AtomicBool,
    fates: &Fates,
    record: &crate::world::Record,
) {
    let Ok(mut stream) = http::connect(entry) else {
        thread::sleep(Duration::from_millis(100));
        return;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let Ok(mut reader) = http::reader(&stream) else {
        return;
    };
    while !stopping.load(Ordering::Relaxed) {
        let ids = [format!("c{client}p{pair}a"), format!("c{client}p{pair}b")];
        *pair += 1;
        for id in &ids {
            let request = format!(
                "GET /view/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: {id}\r\nX-Savorylane-Deadline-Ms: 4000\r\n\r\n"
            );
            if stream.write_all(request.as_bytes()).is_err() {
                return;
            }
            record.line(format!("client {client}: sent {id}"));
        }
        let mut closes = false;
        for id in &ids {
            let Some(answer) = http::read_answer(&mut reader).filter(|_| !closes) else {
                record.line(format!(
                    "client {client}: the connection ended before the answer to {id}"
                ));
                return;
            };
            let whole = answer.whole && answer.header("x-savorylane-request-id") == Some(id);
            closes = answer.header("connection") == Some("close");
            record.line(format!(
                "client {client}: {id} is answered {}, closes {closes}",
                answer.status()
            ));
            fates
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .answered = whole;
        }
        if closes {
            return;
        }
    }
}
