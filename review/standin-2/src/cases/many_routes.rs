//! The configuration grows by many routes, several times. The last version also
//! moves the first route to another service.

use std::thread;
use std::time::{Duration, Instant};

use super::{config, machine, route};
use crate::world::World;
use crate::{http, target};

/// Routes of the first version.
const FIRST: usize = 20;
/// Routes that each further version adds.
const STEP: usize = 1_400;
/// Times that the configuration grows.
const STEPS: usize = 7;
/// Largest value of the store in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Time within which a version must be in force, `config_apply_s`.
const APPLY: Duration = Duration::from_secs(3);

pub fn run(record: &str) {
    let zones = [("central-a", "scot-central"), ("north-a", "scot-north")];
    let mut world = World::start(record, &zones);
    let machines = [
        machine(1, "central-a", "scot-central", "album"),
        machine(2, "central-a", "scot-central", "archive"),
        machine(3, "north-a", "scot-north", "album"),
        machine(4, "north-a", "scot-north", "archive"),
    ];
    let services = ["album", "archive"];
    // The routes of a version, of which the first one leads to `first`.
    let routes = |count: usize, first: &str| -> Vec<String> {
        let service = |number| if number == 0 { first } else { "album" };
        let row = |number| route(&format!("r{number}"), "safe", 2.0, 0.6, service(number));
        (0..count).map(row).collect()
    };
    let first_version = config(1, &routes(FIRST, "album"), &services);
    world.store.put("op/config", &first_version);
    for machine in &machines {
        let id = format!("i-{}", machine.number);
        let service = machine.service.clone();
        let app = world.app(machine.number);
        target::start(app, &id, &world.record, move |connection| {
            while let Some(request) = connection.head() {
                if connection.misdirected(&request) {
                    return;
                }
                let id = target::request_id(&request);
                let answer = target::answer(&id, "200 OK", service.as_bytes());
                if !connection.send(&answer) {
                    return;
                }
            }
        });
        world.register(machine, &id, 13, "ready", 1);
        world.spawn(machine);
    }
    world.await_ready(&[1, 2, 3, 4]);
    // Longer than `stable_window_s`: all machines are in touch.
    thread::sleep(Duration::from_secs(5));
    // Without the disruption the configuration grows once less, and the last
    // version moves the first route all the same.
    let steps = if world.trouble { STEPS } else { STEPS - 1 };
    let (mut served, mut refused, mut old) = (0, 0, 0);
    for step in 1..=steps {
        let count = FIRST + step * STEP;
        let first = if step == steps { "archive" } else { "album" };
        let version = 1 + step as u64;
        let value = config(version, &routes(count, first), &services);
        assert!(value.len() <= MAX_VALUE_BYTES, "the store takes the value");
        world.store.put("op/config", &value);
        let acknowledged = Instant::now();
        world.record.line(format!(
            "operator: version {version} with {count} routes, {} bytes, is acknowledged",
            value.len()
        ));
        thread::sleep(APPLY);
        for machine in &machines {
            for number in [0, count - 1] {
                let request = format!(
                    "GET /r{number}/1 HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: s{step}m{}r{number}\r\nX-Savorylane-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n",
                    machine.number
                );
                let sent = acknowledged.elapsed();
                let entry = world.outbound(machine.number);
                let answer = http::exchange(entry, request.as_bytes(), Duration::from_secs(3));
                let answer = answer.unwrap_or_default();
                let status = answer.status();
                let body = String::from_utf8_lossy(&answer.body);
                let service = if status == 200 { &*body } else { "nobody" };
                let allowed = if number == 0 { first } else { "album" };
                served += usize::from(status == 200);
                refused += usize::from(status == 404);
                old += usize::from(status == 200 && service != allowed);
                world.record.line(format!(
                    "machine {}: /r{number}/, sent {} ms after, is answered {status}, run by {service}; allowed is {allowed}",
                    machine.number,
                    sent.as_millis()
                ));
            }
        }
    }
    world.record.line(format!(
        "{served} served; {refused} refused with 404 though their route is there; {old} run by the old service"
    ));
    if served == 0 {
        world.fail("no request was served".into());
    }
    world.end(refused + old > 0);
}
