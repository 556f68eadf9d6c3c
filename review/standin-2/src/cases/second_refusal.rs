//! A target sheds some requests, and sends some of its answers a second time,
//! late, where the next answer on the connection is expected.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{config, machine, route};
use crate::world::World;
use crate::{http, target};

/// Requests of the clients.
const ORDERS: usize = 240;
/// Time between two of them.
const INTERVAL: Duration = Duration::from_millis(20);
/// One in this many requests is shed while the target sheds: at most 0.45.
const SHED_EVERY: usize = 12;
/// Time for which answers are sent a second time.
const LASTS: Duration = Duration::from_secs(5);
/// At most this share of the answers is sent a second time.
const MAX_EXTRA_SHARE: f64 = 0.03;

#[derive(Default)]
struct State {
    answers: usize,
    extra: usize,
    /// When the first request came.
    began: Option<Instant>,
    ran: BTreeSet<String>,
}

pub fn run(record: &str) {
    let regions = [("mi-a", "lombardia"), ("vr-a", "veneto")];
    let mut world = World::start(record, &regions);
    let machines = [
        machine(1, "mi-a", "lombardia", "catalogo"),
        machine(2, "mi-a", "lombardia", "ordini"),
        machine(3, "vr-a", "veneto", "ordini"),
    ];
    let routes = [route("order", "unsafe", 1.2, 0.3, "ordini")];
    world
        .store
        .put("op/config", &config(7, &routes, &["catalogo", "ordini"]));
    let state = Arc::new(Mutex::new(State::default()));
    let arrivals = Arc::new(AtomicUsize::new(0));
    let trouble = world.trouble;
    for machine in &machines {
        let id = format!("i-{}", machine.number);
        let (state, arrivals) = (Arc::clone(&state), Arc::clone(&arrivals));
        let faulty = machine.number == 2 && trouble;
        target::start(
            world.app(machine.number),
            &id,
            &world.record,
            move |connection| {
                // Refusal that is still to be sent a second time.
                let mut again: Option<Vec<u8>> = None;
                while let Some(mut request) = connection.head() {
                    if connection.misdirected(&request) {
                        return;
                    }
                    http::read_body(&mut connection.reader, &mut request, false);
                    if !request.whole {
                        return;
                    }
                    let id = target::request_id(&request);
                    if let Some(again) = again.take() {
                        connection.record.line(format!(
                            "target {}: the late second answer comes before that to {id}",
                            connection.id
                        ));
                        connection.send(&again);
                    }
                    let number = arrivals.fetch_add(1, Ordering::Relaxed);
                    let mut known = state.lock().unwrap();
                    known.answers += 1;
                    let began = *known.began.get_or_insert_with(Instant::now);
                    let twice = began.elapsed() < LASTS;
                    if faulty && number % SHED_EVERY == SHED_EVERY - 1 {
                        let refusal = target::full(&id);
                        let share = (known.extra + 1) as f64 / known.answers as f64;
                        if twice && share <= MAX_EXTRA_SHARE {
                            known.extra += 1;
                            again = Some(refusal.clone());
                        }
                        drop(known);
                        connection
                            .record
                            .line(format!("target {}: sheds {id}", connection.id));
                        connection.send(&refusal);
                        continue;
                    }
                    known.ran.insert(id.clone());
                    drop(known);
                    connection
                        .record
                        .line(format!("target {}: runs {id}", connection.id));
                    thread::sleep(Duration::from_millis(10));
                    if !connection.send(&target::answer(&id, "200 OK", b"confirmed")) {
                        return;
                    }
                }
            },
        );
        world.register(machine, &id, 6, "ready", 1);
        world.spawn(machine);
    }
    world.await_ready(&[1, 2, 3]);
    thread::sleep(Duration::from_secs(1));
    let (mut served, mut broken) = (0, 0);
    for number in 0..ORDERS {
        let id = format!("order{number:04}");
        let request = format!(
            "POST /order/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: {id}\r\nX-Savorylane-Deadline-Ms: 1200\r\nContent-Length: 5\r\n\r\norder"
        );
        let answer = http::exchange(
            world.outbound(1),
            request.as_bytes(),
            Duration::from_secs(3),
        );
        let status = answer.map_or(0, |answer| answer.status());
        world
            .record
            .line(format!("client: {id} is answered {status}"));
        served += usize::from(status == 200);
        thread::sleep(INTERVAL);
        if matches!(status, 408 | 421 | 429 | 503) && state.lock().unwrap().ran.contains(&id) {
            broken += 1;
            world
                .record
                .line(format!("BROKEN: {id} is answered {status}, and has run"));
        }
    }
    if served == 0 {
        world.fail("no request was served".into());
    }
    let known = state.lock().unwrap();
    let (answers, extra) = (known.answers, known.extra);
    drop(known);
    world.record.line(format!(
        "{served} of {ORDERS} served; {extra} of {answers} answers of targets came twice; {broken} refused and run"
    ));
    world.end(broken > 0);
}
