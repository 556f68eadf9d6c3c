//! A simulated upstream with a fixed number of slots, served over HTTP/1.1 and
//! HTTP/2.

pub mod answer;
pub mod record;
pub mod settings;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorylane_wire::header;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::net::{Connections, Port, Stream};
pub use record::{Counts, Record};
pub use settings::{Distribution, Service, Settings};

/// Header with the id of a request, which is the same on all its attempts.
pub const REQUEST_ID: &str = "request-id";
/// Header that is `true` on answers of a draining upstream, except on health
/// reports.
pub const DRAINING: &str = "upstream-draining";
/// Path of the health report.
pub const HEALTH: &str = "/health";

/// Maximum timer overrun of one run that is subtracted from later runs. Tokio's
/// timer is up to 1 ms late; a longer overrun is caused by a pause of the
/// process and not compensated.
const MAX_TIMER_OVERRUN: Duration = Duration::from_millis(2);

/// Behaviour of an upstream that can be changed while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mode {
    /// Factor on service times. A change also affects running requests.
    pub slow_factor: f64,
    /// Whether the upstream hangs: it accepts requests, but none makes progress
    /// or is answered.
    pub hang: bool,
    /// Whether the health report shows an idle upstream regardless of its
    /// state, also during a hang.
    pub report_healthy: bool,
    /// Time at which the upstream began to drain, if it does. A draining
    /// upstream still runs new requests and records them in [`Counts::late`].
    pub draining_since: Option<Instant>,
    /// Maximum number of requests that wait for a slot; others are answered
    /// with 503.
    pub max_queued: usize,
}

impl Default for Mode {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            hang: false,
            report_healthy: false,
            draining_since: None,
            max_queued: usize::MAX,
        }
    }
}

/// Health report, sent as JSON. The HTTP status is 503 while the report shows
/// a drain.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Health {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub queued: usize,
    /// Number of slots.
    pub slots: usize,
    /// Whether the upstream is draining.
    pub draining: bool,
}

/// A running upstream.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Bound address.
    pub addr: SocketAddr,
    /// Counts of requests and runs; may be shared with other upstreams.
    pub record: Arc<Record>,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    record: Arc<Record>,
    connections: Arc<Connections>,
    mode: watch::Sender<Mode>,
    slots: Semaphore,
    queued: Mutex<usize>,
    rng: Mutex<ChaCha8Rng>,
    started_at: Mutex<Instant>,
    /// Accumulated timer overrun of earlier runs, to be subtracted from later
    /// ones.
    timer_overrun: Mutex<Duration>,
}

/// Starts an upstream that counts its runs in `record`.
///
/// # Errors
///
/// Returns the error of binding the port.
pub fn spawn(
    settings: Settings,
    record: &Arc<Record>,
    cancel: &CancellationToken,
) -> io::Result<Handle> {
    let bound = Port::bind()?;
    let addr = bound.0.addr;
    let connections = Connections::new(cancel.child_token());
    let state = Arc::new(State {
        record: record.clone(),
        connections: connections.clone(),
        mode: watch::Sender::new(Mode::default()),
        slots: Semaphore::new(settings.slots),
        queued: Mutex::default(),
        rng: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
        started_at: Mutex::new(Instant::now()),
        timer_overrun: Mutex::default(),
        settings,
    });
    let server = state.clone();
    tokio::spawn(connections.accept(bound, move |stream| serve(server.clone(), stream)));
    Ok(Handle {
        addr,
        record: record.clone(),
        state,
    })
}

impl Handle {
    /// Applies `change` to the current mode.
    pub fn update_mode(&self, change: impl FnOnce(&mut Mode)) {
        self.state.mode.send_modify(change);
    }

    /// Makes the upstream drain from now on.
    pub fn drain(&self) {
        self.update_mode(|mode| mode.draining_since = Some(Instant::now()));
    }

    /// Silences up to `count` open connections, oldest first, and returns how
    /// many. A silenced connection stays open, but neither reads nor writes
    /// again. New connections are not affected.
    pub fn silence(&self, count: usize) -> usize {
        self.state.connections.silence(count)
    }

    /// Crashes the upstream as a request with the crash marker does.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Returns the number of connections accepted so far.
    pub fn connections_accepted(&self) -> u64 {
        self.state.connections.accepted()
    }

    /// Returns the actual state, regardless of [`Mode::report_healthy`].
    pub fn health(&self) -> Health {
        self.state.health()
    }
}

/// Guard that counts a request as queued until the guard is dropped.
struct Queued<'a>(&'a State);

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        *self.0.queued.lock().unwrap() -= 1;
    }
}

/// Guard that, when dropped, counts a run as completed or as stopped.
struct Run<'a> {
    record: &'a Record,
    completed: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let completed = self.completed;
        self.record.update(|counts| match completed {
            true => counts.completed += 1,
            false => counts.stopped += 1,
        });
    }
}

type Answer = Response<Full<Bytes>>;

fn empty(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

impl State {
    fn health(&self) -> Health {
        Health {
            running: self.settings.slots - self.slots.available_permits(),
            queued: *self.queued.lock().unwrap(),
            slots: self.settings.slots,
            draining: self.mode.borrow().draining_since.is_some(),
        }
    }

    /// Closes all connections, which stops their requests, and refuses new
    /// connections for the crash period, after which the upstream starts cold.
    fn crash(self: &Arc<Self>) {
        self.record.update(|counts| counts.crashes += 1);
        self.connections.set_refusing(true);
        self.connections.close_all();
        let state = self.clone();
        tokio::spawn(async move {
            sleep(state.settings.crash_period).await;
            *state.started_at.lock().unwrap() = Instant::now();
            state.connections.set_refusing(false);
        });
    }

    /// Returns the current factor on service times, including that of a cold
    /// start; infinite during a hang.
    fn current_factor(&self, mode: &Mode) -> f64 {
        if mode.hang {
            return f64::INFINITY;
        }
        let settings = &self.settings;
        let age = self.started_at.lock().unwrap().elapsed();
        let cold = match age < settings.cold_period {
            true => 1.0 - age.as_secs_f64() / settings.cold_period.as_secs_f64(),
            false => 0.0,
        };
        mode.slow_factor * (1.0 + cold * (settings.cold_factor - 1.0))
    }

    /// Waits for the service time `time` multiplied by the current factor,
    /// which may change during the wait.
    async fn simulate_work(&self, time: Duration) {
        let mut modes = self.mode.subscribe();
        let mut remaining = time;
        loop {
            let factor = self.current_factor(&modes.borrow_and_update());
            let began = Instant::now();
            if factor.is_infinite() {
                // Fails only if the sender is dropped, which `self` prevents.
                let _ = modes.changed().await;
                continue;
            }
            let wall_time = remaining.mul_f64(factor);
            // Subtracts the overrun of earlier runs, so that the mean service
            // time, and therefore the capacity, matches the settings.
            let correction = {
                let mut overrun = self.timer_overrun.lock().unwrap();
                let correction = (*overrun).min(wall_time);
                *overrun -= correction;
                correction
            };
            tokio::select! {
                () = sleep(wall_time - correction) => {
                    let overrun = (began.elapsed() + correction).saturating_sub(wall_time);
                    *self.timer_overrun.lock().unwrap() += overrun.min(MAX_TIMER_OVERRUN);
                    return;
                }
                _ = modes.changed() => {
                    *self.timer_overrun.lock().unwrap() += correction;
                    remaining = remaining.saturating_sub(began.elapsed().div_f64(factor));
                }
            }
        }
    }

    fn health_response(&self) -> Answer {
        let mode = *self.mode.borrow();
        let health = match mode.report_healthy {
            true => Health {
                slots: self.settings.slots,
                ..Health::default()
            },
            false => self.health(),
        };
        let body = serde_json::to_vec(&health).expect("a health report can be written as JSON");
        let mut answer = Response::new(Full::new(body.into()));
        if health.draining {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        answer
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let mode = *self.mode.borrow();
        if request.uri().path() == HEALTH {
            if mode.hang && !mode.report_healthy {
                std::future::pending::<()>().await;
            }
            return self.health_response();
        }
        let mut answer = self.process(request, &mode).await;
        if mode.draining_since.is_some() {
            let headers = answer.headers_mut();
            headers.insert(DRAINING, HeaderValue::from_static("true"));
        }
        answer
    }

    async fn process(self: &Arc<Self>, request: Request<Incoming>, mode: &Mode) -> Answer {
        let header_text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let id = header_text(REQUEST_ID).unwrap_or_default();
        let key = header_text(header::IDEMPOTENCY_KEY).unwrap_or_else(|| id.clone());
        let timeout = header_text(header::TIMEOUT_MS).and_then(|ms| ms.parse().ok());
        // Without the header, one day stands for no timeout.
        let timeout = Duration::from_millis(timeout.unwrap_or(86_400_000));
        let deadline = Instant::now() + timeout;
        let path = request.uri().path().to_owned();
        let services = self.settings.services.iter();
        let Some(service) = services
            .filter(|service| path.starts_with(&service.path_prefix))
            .max_by_key(|service| service.path_prefix.len())
        else {
            return empty(StatusCode::NOT_FOUND);
        };
        self.record.update(|counts| {
            counts.received += 1;
            if let Some(began) = mode.draining_since {
                counts.late.push(record::Arrival {
                    request: id.clone(),
                    after: began.elapsed(),
                });
            }
        });
        let queued = {
            let mut queued = self.queued.lock().unwrap();
            if *queued >= mode.max_queued && self.slots.available_permits() == 0 {
                self.record.update(|counts| counts.shed += 1);
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            *queued += 1;
            Queued(self)
        };
        // The semaphore is fair: it grants permits in FIFO order.
        let Ok(slot) = timeout_at(deadline, self.slots.acquire()).await else {
            self.record.update(|counts| counts.expired += 1);
            return empty(StatusCode::GATEWAY_TIMEOUT);
        };
        drop(queued);
        let _slot = slot.expect("the semaphore is never closed");
        // The slot is occupied while the body arrives, as in a server with one
        // thread per request.
        let body = match timeout_at(deadline, request.into_body().collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) => return empty(StatusCode::BAD_REQUEST),
            Err(_) => {
                self.record.update(|counts| counts.expired += 1);
                return empty(StatusCode::GATEWAY_TIMEOUT);
            }
        };
        let running = self.health().running;
        self.record.update(|counts| {
            *counts.runs.entry(key).or_default() += 1;
            counts.order.push(id.clone());
            counts.started += 1;
            counts.max_running = counts.max_running.max(running);
        });
        let mut run = Run {
            record: &self.record,
            completed: false,
        };
        if self.contains_crash_marker(&path, &body) {
            self.crash();
            // The crash closes the connection, which drops this future.
            std::future::pending::<()>().await;
        }
        let service_time = service.service_time.sample(&mut *self.rng.lock().unwrap());
        if timeout_at(deadline, self.simulate_work(service_time))
            .await
            .is_err()
        {
            return empty(StatusCode::GATEWAY_TIMEOUT);
        }
        run.completed = true;
        Response::new(Full::new(answer::encode(&id, &body, service.fill).into()))
    }

    fn contains_crash_marker(&self, path: &str, body: &[u8]) -> bool {
        let marker = self.settings.crash_marker.as_bytes();
        !marker.is_empty()
            && (path.as_bytes().windows(marker.len()).any(|w| w == marker)
                || body.windows(marker.len()).any(|w| w == marker))
    }
}

async fn serve(state: Arc<State>, stream: Stream) {
    sleep(state.settings.connect_delay).await;
    let service = service_fn(move |request| {
        let answer = state.clone().respond(request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    // A peer may close its connection during a request; that is not an error
    // of the upstream.
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
