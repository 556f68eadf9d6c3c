//! Daemons whose processes are paused and resume with outdated state.

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod common;
#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod fleet;

use std::time::{Duration, Instant};

use common::get;
use fleet::process::{Process, publish_and_wait, wait_for_document};
use fleet::{Fleet, IN_FORCE_TIMEOUT, document_with_version_path};
use http::StatusCode;
use savorylane_standin::upstream;

/// Length of the pause, longer than the 2 s from which on a pause is detected.
const PAUSE_LENGTH: Duration = Duration::from_millis(2_500);
/// Number of requests for each version that wait at the paused daemon.
const WAITING_REQUESTS: usize = 8;

/// Guards against a resumed daemon that answers requests by the version that
/// was in force before the pause. The requests wait in its sockets, so that it
/// handles them first.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_daemon_answers_by_the_newest_version() {
    let fleet = Fleet::open();
    let spawn = |host| Process::spawn(&fleet, host, upstream::Settings::default());
    let processes = ["a1", "a2", "b1"].map(spawn);
    publish_and_wait(&fleet, &processes, &document_with_version_path(1)).await;
    let [paused, others @ ..] = &processes;
    let others: Vec<&Process> = others.iter().collect();
    let mut oldest = 1;
    for _ in 0..2 {
        paused.signal("-STOP");
        let stopped = Instant::now();
        for number in oldest + 1..=oldest + 3 {
            fleet
                .platform
                .publish_document(&document_with_version_path(number));
            for other in &others {
                let start = Instant::now();
                while get(other.entry(), &format!("/v{number}/x"))
                    .await
                    .is_ok_and(|answer| answer.status == StatusCode::NOT_FOUND)
                {
                    assert!(
                        start.elapsed() < IN_FORCE_TIMEOUT,
                        "version {number} is not in force"
                    );
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        let newest = oldest + 3;
        tokio::time::sleep(PAUSE_LENGTH.saturating_sub(stopped.elapsed())).await;
        let entry = paused.entry();
        let send = |number: u64| {
            let path = format!("/v{number}/x");
            tokio::spawn(async move { get(entry, &path).await.unwrap() })
        };
        let old: Vec<_> = (0..WAITING_REQUESTS).map(|_| send(oldest)).collect();
        let new: Vec<_> = (0..WAITING_REQUESTS).map(|_| send(newest)).collect();
        tokio::time::sleep(Duration::from_millis(200)).await;
        paused.signal("-CONT");
        let resumed = Instant::now();
        for request in old {
            let answer = request.await.unwrap();
            assert_eq!(answer.status, StatusCode::NOT_FOUND, "{answer:?}");
        }
        for request in new {
            let answer = request.await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        }
        println!(
            "all answers {:?} after the process resumed",
            resumed.elapsed()
        );
        let all: Vec<&Process> = processes.iter().collect();
        wait_for_document(&all, newest, Duration::from_secs(10)).await;
        oldest = newest;
    }
    fleet.cancel.cancel();
}
