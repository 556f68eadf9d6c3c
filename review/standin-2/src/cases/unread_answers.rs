//! Some clients read slowly, and orders of other clients lose their answers.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::slow_readers::connect_slow;
use super::{config, machine, route};
use crate::world::{Record, World};
use crate::{http, target};

/// Clients that read lists.
const READERS: usize = 300;
/// Lists that each asks for before the first one is answered.
const LISTS: usize = 6;
const LIST_BYTES: usize = 60_000;
/// Time for which they come.
const LASTS: Duration = Duration::from_secs(12);
/// Clients that order.
const ORDERERS: usize = 5;
const ORDER_BYTES: usize = 400;
/// Time for which such a client waits; the route's timeout is 1 s.
const PATIENCE: Duration = Duration::from_secs(2);
const WORK: Duration = Duration::from_millis(10);
/// Orders that may be lost.
const MAX_LOST: usize = 3;

/// What became of the orders.
#[derive(Default)]
struct Orders {
    ran: BTreeSet<String>,
    sent: usize,
    answered: usize,
    /// Orders that ran and whose connection ended without a whole answer.
    lost: Vec<String>,
}

pub fn run(record: &str) {
    let mut world = World::start(record, &[("central-a", "scot-central")]);
    let machines = [
        machine(1, "central-a", "scot-central", "album"),
        machine(2, "central-a", "scot-central", "archive"),
        machine(3, "central-a", "scot-central", "archive"),
    ];
    let routes = [
        route("list", "safe", 4.0, 0.8, "archive"),
        route("order", "unsafe", 1.0, 0.5, "archive"),
    ];
    world
        .store
        .put("op/config", &config(7, &routes, &["album", "archive"]));
    let orders = Arc::new(Mutex::new(Orders::default()));
    for machine in &machines {
        let id = format!("i-{}", machine.number);
        let (orders, app) = (Arc::clone(&orders), world.app(machine.number));
        target::start(app, &id, &world.record, move |connection| {
            while let Some(mut request) = connection.head() {
                if connection.misdirected(&request) {
                    return;
                }
                http::read_body(&mut connection.reader, &mut request, false);
                let order = request.second().starts_with("/order");
                let id = target::request_id(&request);
                if order {
                    connection
                        .record
                        .line(format!("target {}: runs {id}", connection.id));
                    orders.lock().unwrap().ran.insert(id.clone());
                }
                thread::sleep(WORK);
                let body = vec![b'd'; if order { ORDER_BYTES } else { LIST_BYTES }];
                if !connection.send(&target::answer(&id, "200 OK", &body)) {
                    return;
                }
            }
        });
        world.register(machine, &id, 13, "ready", 1);
        world.spawn(machine);
    }
    world.await_ready(&[1, 2, 3]);
    thread::sleep(Duration::from_secs(1));
    let done = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..ORDERERS {
        let (entry, done) = (world.outbound(1), Arc::clone(&done));
        let (orders, record) = (Arc::clone(&orders), Arc::clone(&world.record));
        clients.push(thread::spawn(move || {
            let mut number = 0;
            while !done.load(Ordering::Relaxed) {
                send_orders(entry, client, &mut number, &done, &orders, &record);
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let slow = world.trouble;
    let manner = if slow { "slowly" } else { "at once" };
    world
        .record
        .line(format!("{READERS} clients come that read lists {manner}"));
    let until = Instant::now() + LASTS;
    for reader in 0..READERS {
        let entry = world.outbound(1);
        clients.push(thread::spawn(move || {
            let mut round = 0;
            while Instant::now() < until {
                round += 1;
                read_lists(entry, reader, round, slow, until);
            }
        }));
    }
    thread::sleep(LASTS + Duration::from_secs(2));
    done.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let orders = orders.lock().unwrap();
    let (sent, answered, lost) = (orders.sent, orders.answered, orders.lost.len());
    drop(orders);
    world.record.line(format!(
        "{answered} of {sent} orders are answered; {lost} ran, and their connections were closed without a whole answer"
    ));
    if answered == 0 {
        world.fail("no order was answered".into());
    }
    world.end(lost > MAX_LOST);
}

/// Sends orders on one connection until it closes.
fn send_orders(
    entry: SocketAddr,
    client: usize,
    number: &mut usize,
    done: &AtomicBool,
    orders: &Mutex<Orders>,
    record: &Record,
) {
    let Ok(mut stream) = http::connect(entry) else {
        return;
    };
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let Ok(mut reader) = http::reader(&stream) else {
        return;
    };
    while !done.load(Ordering::Relaxed) {
        *number += 1;
        let id = format!("order{client}n{number}");
        let request = format!(
            "POST /order/{number} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: {id}\r\nX-Savorylane-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
            PATIENCE.as_millis()
        );
        let sent = Instant::now();
        if stream.write_all(request.as_bytes()).is_err() {
            return;
        }
        let answer = http::read_answer(&mut reader);
        let status = answer.as_ref().map_or(0, http::Message::status);
        let whole = answer.is_some_and(|answer| answer.whole);
        let ms = sent.elapsed().as_millis();
        record.line(format!(
            "client {client}: {id} is answered {status}, whole {whole}, after {ms} ms"
        ));
        let mut orders = orders.lock().unwrap();
        orders.sent += 1;
        orders.answered += usize::from(whole);
        if !whole && sent.elapsed() < PATIENCE && orders.ran.contains(&id) {
            record.line(format!(
                "LOST: {id} has run, and its connection was closed without a whole answer"
            ));
            orders.lost.push(id);
        }
        drop(orders);
        if !whole {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Asks for lists on one connection, and reads them slowly or at once.
fn read_lists(entry: SocketAddr, reader: usize, round: usize, slow: bool, until: Instant) {
    let stream = match slow {
        true => connect_slow(entry),
        false => http::connect(entry).ok(),
    };
    let Some(mut stream) = stream else {
        return;
    };
    for list in 0..LISTS {
        let request = format!(
            "GET /list/{reader}-{round}-{list} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: list{reader}r{round}n{list}\r\nX-Savorylane-Deadline-Ms: 4000\r\n\r\n"
        );
        let _ = stream.write_all(request.as_bytes());
    }
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    if !slow {
        if let Ok(mut answers) = http::reader(&stream) {
            for _ in 0..LISTS {
                let _ = http::read_answer(&mut answers);
            }
        }
        // As often as the slow ones come.
        thread::sleep(Duration::from_secs(4));
        return;
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    while Instant::now() < until {
        match stream.read(&mut [0; 256]) {
            Ok(0) => return,
            Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => return,
            _ => thread::sleep(Duration::from_millis(200)),
        }
    }
}
