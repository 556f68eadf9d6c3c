//! Helpers for tests that run the daemon as a separate process.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Lines};
use std::net::SocketAddr;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorylane_intent::document::{Class, Document, Service, Target, Work};
use savorylane_intent::hosts::{Host, List, State};
use savorylane_standin::upstream::REQUEST_ID;

/// Limit of the wait for a condition, generous for loaded machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon in a separate process, which is killed when dropped.
pub(crate) struct Daemon {
    /// The process.
    pub(crate) child: Child,
    /// Lines of standard output after the announced addresses.
    pub(crate) output: Lines<BufReader<ChildStdout>>,
    /// Bound addresses by the name of their flag.
    pub(crate) addresses: BTreeMap<String, SocketAddr>,
    /// Name of the host.
    pub(crate) host: String,
}

impl Daemon {
    /// Starts the built binary on ports that the system picks. Its service is
    /// `stock` unless `extra_args` sets another.
    pub(crate) fn spawn(host: &str, data_centre: &str, extra_args: &[String]) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::spawn_on(host, data_centre, [any; 4], extra_args)
    }

    /// Starts the built binary on the ports entry, data, control and operator,
    /// in this order. The daemon has no addresses if a port cannot be bound.
    pub(crate) fn spawn_on(
        host: &str,
        data_centre: &str,
        ports: [SocketAddr; 4],
        extra_args: &[String],
    ) -> Self {
        let flags = ["entry", "data", "control", "operator"];
        let ports = flags.iter().zip(ports);
        let named = extra_args.iter().any(|flag| flag.starts_with("--service="));
        let service = (!named).then_some("--service=stock");
        let mut child = Command::new(env!("CARGO_BIN_EXE_savorylaned"))
            .args(["--host", host, "--region", "north"])
            .args(["--data-centre", data_centre])
            .args(service)
            .args(ports.map(|(flag, address)| format!("--{flag}={address}")))
            .args(["--log-level", "info", "--first-start"])
            .args(extra_args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the built daemon starts");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut output = BufReader::new(stdout).lines();
        let addresses = output
            .by_ref()
            .map_while(Result::ok)
            .take_while(|line| line != "ready")
            // Log lines are written to standard output as well.
            .filter(|line| !line.starts_with('{'))
            .map(|line| {
                let (port, address) = line.split_once(' ').expect("a port and an address");
                (port.to_owned(), address.parse().expect("an address"))
            })
            .collect();
        Self {
            child,
            output,
            addresses,
            host: host.into(),
        }
    }

    /// Returns the daemon's entry in a host list.
    pub(crate) fn list_entry(&self, data_centre: &str) -> Host {
        Host {
            name: self.host.clone(),
            region: "north".into(),
            data_centre: data_centre.into(),
            service: "stock".into(),
            entry: self.addresses["entry"],
            data: self.addresses["data"],
            control: self.addresses["control"],
            operator: self.addresses["operator"],
            state: State::Live,
            instance: None,
            slots: None,
            lapsed: false,
            evacuated: false,
            cold_ms: 0,
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a document with one class of short work.
pub(crate) fn document(number: u64) -> Document {
    Document {
        number,
        deployment: "test".into(),
        limits: None,
        services: vec![Service::new("stock")],
        classes: vec![Class {
            name: "check".into(),
            service: "stock".into(),
            path_prefix: "/stock/".into(),
            methods: vec!["GET".into()],
            work: Work::Short,
            idempotent: true,
            target: Target {
                latency_ms: 200,
                quantile: 0.99,
                success: 0.999,
            },
            shed_order: 0,
            authority: None,
            split: Vec::new(),
            timeout_ms: None,
            attempts: None,
            homes: Vec::new(),
        }],
    }
}

/// Returns the host list `number` with `hosts`.
pub(crate) fn list(number: u64, hosts: Vec<Host>) -> List {
    List { number, hosts }
}

/// An answer with its complete body.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Status.
    pub(crate) status: StatusCode,
    /// Value of the verdict header.
    pub(crate) verdict: String,
    /// Body.
    pub(crate) body: Bytes,
}

/// Sends a GET request and reads the complete answer.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Result<Answer, String> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{address}{path}"))
        .header(REQUEST_ID, path)
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let answer = client
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = answer.status();
    let verdict = answer.headers().get("savorylane-verdict");
    let verdict = verdict.and_then(|value| value.to_str().ok());
    let verdict = verdict.unwrap_or_default().to_owned();
    let body = answer.into_body().collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok(Answer {
        status,
        verdict,
        body,
    })
}

/// Repeats a GET request until the status is 200.
pub(crate) async fn get_until_ok(address: SocketAddr, path: &str) -> Answer {
    let start = Instant::now();
    loop {
        let answer = get(address, path).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => return answer,
            last => assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "no success in time: {last:?}"
            ),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
