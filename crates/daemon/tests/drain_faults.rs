//! Hosts that leave because of an operator's drain or SIGTERM.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::document;
use fleet::caller::{Caller, End};
use fleet::process::{Process, publish_and_wait};
use fleet::{Fleet, open_loop, tally};
use http::Method;
use savorylane_intent::document::{Document, Work};
use savorylane_standin::upstream::{self, Record};
use savorylane_wire::operator::OperatorClient;

/// Promised maximum time until a leaving upstream gets no new requests.
const NEW_WORK_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a leaving host still serves requests before it closes its
/// port.
const MIN_SERVING_TIME: Duration = Duration::from_secs(1);
/// Time between two requests at one entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the start of the load at which the host begins to leave.
const LEAVE_AT: Duration = Duration::from_millis(800);
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(5);

/// Returns a document with short reads, short orders that must not run twice,
/// and long uploads.
fn document_with_writes() -> Document {
    let mut document = document(1);
    let mut order = document.classes[0].clone();
    order.name = "order".into();
    order.path_prefix = "/order/".into();
    order.methods = vec!["POST".into()];
    order.idempotent = false;
    let mut upload = order.clone();
    upload.name = "upload".into();
    upload.path_prefix = "/upload/".into();
    upload.work = Work::Long;
    document.classes.extend([order, upload]);
    document
}

/// Starts two hosts of the service `stock`, of which the first is to leave.
/// Returns them with the record of the first one's upstream; the other upstream
/// uses the record of the fleet.
async fn spawn_pair(fleet: &Fleet) -> ([Process; 2], Arc<Record>) {
    let own = Arc::new(Record::default());
    let settings = upstream::Settings::default();
    let upstream = upstream::spawn(settings.clone(), &own, &fleet.cancel).unwrap();
    let leaving = Process::spawn_with_upstream(fleet, "a1", upstream, &[]);
    let staying = Process::spawn(fleet, "a2", settings);
    let processes = [leaving, staying];
    publish_and_wait(fleet, &processes, &document_with_writes()).await;
    (processes, own)
}

/// Sends reads and orders to `entry` in turn for [`LOAD_DURATION`].
async fn send_load(caller: Caller, entry: SocketAddr, name: &'static str) -> Vec<(Duration, End)> {
    let sent = open_loop(REQUEST_INTERVAL, LOAD_DURATION, |n| {
        let caller = caller.clone();
        async move {
            match n % 2 {
                0 => {
                    let path = format!("/stock/{name}-{n}");
                    caller.send_and_check(Method::GET, entry, &path).await
                }
                _ => {
                    let path = format!("/order/{name}-{n}");
                    caller.send_and_check(Method::POST, entry, &path).await
                }
            }
        }
    });
    let ends = sent.await.into_iter();
    ends.map(|(began, _, end)| (began, end)).collect()
}

/// Waits until [`NEW_WORK_TIMEOUT`] after `left`, and returns a check that no
/// request reached the upstream later.
async fn new_work_check(record: Arc<Record>, left: Instant) -> impl FnOnce() {
    tokio::time::sleep(NEW_WORK_TIMEOUT.saturating_sub(left.elapsed())).await;
    let before = record.counts().received;
    assert!(before > 0, "the host had work before it left");
    move || assert_eq!(record.counts().received, before, "new work after 3 s")
}

/// Guards against a drained host that still gets requests because the host list
/// shows it as live, and against requests that a drain aborts or runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_host_gets_no_new_work() {
    let fleet = Fleet::open();
    let (processes, own) = spawn_pair(&fleet).await;
    let [leaving, staying] = &processes;
    let near = tokio::spawn(send_load(Caller::new(false), leaving.entry(), "near"));
    let far = tokio::spawn(send_load(Caller::new(true), staying.entry(), "far"));
    tokio::time::sleep(LEAVE_AT).await;
    leaving.operator().drain().await.unwrap();
    let check = new_work_check(own.clone(), Instant::now()).await;
    let ends = near.await.unwrap().into_iter().chain(far.await.unwrap());
    let ends = tally(ends.map(|(_, end)| end));
    println!("{ends:?}");
    check();
    assert_eq!(ends.len(), 1, "{ends:?}");
    assert!(ends.contains_key(&End::Complete), "{ends:?}");
    let runs = [own.counts().runs, fleet.record.counts().runs];
    for (request, runs) in runs.iter().flatten() {
        assert!(*runs == 1 || request.starts_with("/stock/"), "{request}");
    }
    fleet.cancel.cancel();
}

/// Guards against a shutdown that aborts requests: short ones on connections
/// that callers keep open, and uploads that take longer than the announcement.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_cuts_no_request() {
    let fleet = Fleet::open();
    let (mut processes, own) = spawn_pair(&fleet).await;
    let [leaving, staying] = &processes;
    let upload = |entry: SocketAddr, path: String| {
        tokio::spawn(async move {
            let caller = Caller::new(false);
            let gap = Duration::from_millis(100);
            caller.upload(entry, &path, 30, gap).await
        })
    };
    let entries = [("near", leaving.entry()), ("far", staying.entry())];
    let mut uploads = Vec::new();
    for n in 0..4 {
        let (name, entry) = entries[n % 2];
        uploads.push(upload(entry, format!("/upload/{name}-{n}")));
    }
    let near = tokio::spawn(send_load(Caller::new(true), leaving.entry(), "near"));
    let plain = tokio::spawn(send_load(Caller::new(false), leaving.entry(), "plain"));
    let far = tokio::spawn(send_load(Caller::new(true), staying.entry(), "far"));
    tokio::time::sleep(LEAVE_AT).await;
    leaving.signal("-TERM");
    let left = Instant::now();
    let check = new_work_check(own.clone(), left).await;
    for upload in uploads {
        assert_eq!(upload.await.unwrap(), End::Complete);
    }
    let mut near = near.await.unwrap();
    near.extend(plain.await.unwrap());
    let far = tally(far.await.unwrap().into_iter().map(|(_, end)| end));
    println!("through the staying host: {far:?}");
    let first_refused = near.iter().find(|(_, end)| *end == End::NoListener);
    println!(
        "first without listener at {:?}",
        first_refused.map(|(at, _)| at)
    );
    for (at, end) in &near {
        let closed = match end {
            End::NoListener => *at > LEAVE_AT,
            End::Closed => *at > LEAVE_AT + MIN_SERVING_TIME,
            _ => false,
        };
        assert!(*end == End::Complete || closed, "at {at:?}: {end:?}");
    }
    assert_eq!(far.len(), 1, "{far:?}");
    assert!(far.contains_key(&End::Complete), "{far:?}");
    check();
    let order = own.counts().order;
    let uploaded = order.iter().filter(|id| id.starts_with("/upload/"));
    println!(
        "uploads at the leaving host: {:?}",
        uploaded.collect::<Vec<_>>()
    );
    let child = &mut processes[0].daemon.child;
    let code = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status.code();
        }
        assert!(left.elapsed() < Duration::from_secs(10), "still running");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(code, Some(0));
    fleet.cancel.cancel();
}
