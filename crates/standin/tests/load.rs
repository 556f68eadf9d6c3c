//! Tests of the load generator, the simulated links and the deployments.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::until;
use savorylane_intent::document;
use savorylane_standin::load::{self, End, Keys, Plan, Rate, Resend};
use savorylane_standin::upstream::{self, Record, Settings};
use savorylane_standin::{deployment, link};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

fn plan(keys: Keys, entries: &[&upstream::Handle]) -> Plan {
    Plan {
        seed: 7,
        duration: Duration::from_millis(200),
        max_requests: 1_000,
        classes: vec![load::Class {
            name: "confirm".into(),
            method: http::Method::POST,
            path: "/".into(),
            body_bytes: 100,
            timeout: Duration::from_secs(10),
            keys,
            rate: Rate::constant(200.0),
        }],
        entries: entries.iter().map(|upstream| upstream.addr).collect(),
        http2: false,
        callers: 2,
        home_region: None,
        resend: Resend {
            max_attempts: 2,
            delay: Duration::ZERO,
            send_attempt_number: false,
        },
    }
}

/// Guards against latency that is measured from the actual start, which would
/// omit the delay of requests that could not be started in time.
#[tokio::test]
async fn latency_counts_from_the_intended_start() {
    let cancel = CancellationToken::new();
    let upstream = upstream::spawn(Settings::default(), &Arc::default(), &cancel).unwrap();
    let plan = plan(Keys::None, &[&upstream]);
    let arrivals = plan.arrivals();
    assert_eq!(arrivals, plan.arrivals());
    let run = load::spawn(plan, &cancel);
    // Blocks the only thread of the runtime, so that no request starts.
    let block = Duration::from_millis(300);
    std::thread::sleep(block);
    let results = run.await.unwrap();
    assert_eq!(results.outcomes.len(), arrivals.len());
    for outcome in &results.outcomes {
        assert_eq!(outcome.end, End::Done);
        assert!(outcome.start + outcome.latency >= block);
    }
    assert!(results.classes[0].latency_ms(0.0) >= 100.0);
    cancel.cancel();
}

/// Guards against resends that change the key or go to the same entry: tests
/// could then not distinguish a second run from a new request.
#[tokio::test]
async fn resends_reach_another_entry_with_the_same_key() {
    let cancel = CancellationToken::new();
    let record = Arc::new(Record::default());
    let settings = Settings {
        crash_period: Duration::from_secs(600),
        ..Settings::default()
    };
    let [down, up] = [0, 1].map(|_| upstream::spawn(settings.clone(), &record, &cancel).unwrap());
    down.crash();
    let plan = plan(Keys::Opaque, &[&down, &up]);
    let first_down = plan.arrivals().iter().filter(|a| a.entry == 0).count();
    let results = load::spawn(plan, &cancel).await.unwrap();
    let figures = &results.classes[0];
    assert_eq!(figures.done, figures.offered);
    assert_eq!(figures.resent, first_down as u64);
    assert!(first_down > 0);
    for outcome in &results.outcomes {
        assert_eq!(record.runs(&outcome.key), 1);
    }
    cancel.cancel();
}

async fn spawn_echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

async fn ping(stream: &mut TcpStream) -> std::io::Result<Duration> {
    let began = Instant::now();
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut [0; 4]).await?;
    Ok(began.elapsed())
}

/// Guards against a link without its delay, and against cuts and silencing that
/// affect too many or too few connections.
#[tokio::test]
async fn link_delays_cuts_and_goes_silent() {
    let cancel = CancellationToken::new();
    let settings = link::Settings {
        target: spawn_echo_server().await,
        delay: Duration::from_millis(20),
        bandwidth: None,
    };
    let link = link::spawn(settings, &cancel).unwrap();
    let mut old = TcpStream::connect(link.addr).await.unwrap();
    ping(&mut old).await.unwrap();
    // The delay of each direction may be 1 ms too short.
    assert!(ping(&mut old).await.unwrap() >= Duration::from_millis(38));
    assert_eq!(link.counters().forward, 8);
    assert_eq!(link.counters().backward, 8);

    link.silence();
    let mut new = TcpStream::connect(link.addr).await.unwrap();
    ping(&mut new).await.unwrap();
    let silent = timeout(Duration::from_millis(100), ping(&mut old)).await;
    assert!(
        silent.is_err(),
        "a silenced connection must neither answer nor close"
    );

    link.cut();
    assert!(ping(&mut new).await.is_err());
    let refused = || std::net::TcpStream::connect(link.addr).is_err();
    until("a refused connection", refused).await;
    link.heal();
    until("an accepted connection", || !refused()).await;
    let mut healed = TcpStream::connect(link.addr).await.unwrap();
    ping(&mut healed).await.unwrap();
    cancel.cancel();
}

/// Guards against a link that ignores its bandwidth limit.
#[tokio::test]
async fn link_limits_its_bandwidth() {
    let cancel = CancellationToken::new();
    let settings = link::Settings {
        target: spawn_echo_server().await,
        delay: Duration::ZERO,
        bandwidth: Some(1e6),
    };
    let link = link::spawn(settings, &cancel).unwrap();
    let mut stream = TcpStream::connect(link.addr).await.unwrap();
    let began = Instant::now();
    let (mut read, mut write) = stream.split();
    let mut received = vec![0; 200_000];
    let (sent, read) = tokio::join!(
        write.write_all(&[1; 200_000]),
        read.read_exact(&mut received)
    );
    sent.unwrap();
    read.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(195));
    cancel.cancel();
}

/// Guards against deployments whose document daemons would reject, whose hosts
/// are spread unevenly over the data centres, or whose load no upstream serves.
#[test]
fn deployments_are_valid_and_even() {
    for deployment in [deployment::testata(), deployment::skrapplock()] {
        document::validate(&deployment.document.canonical()).unwrap();
        let spread = deployment.hosts_per_data_centre(deployment.hosts);
        assert!(spread.iter().all(|(_, hosts)| *hosts == 3));
        for class in &deployment.document.classes {
            let load = deployment.class_load(&class.name, Rate::constant(1.0));
            let upstream = deployment.upstream_settings(&class.service, 1);
            let mut prefixes = upstream.services.iter();
            assert!(prefixes.any(|row| load.path.starts_with(&row.path_prefix)));
        }
    }
}
