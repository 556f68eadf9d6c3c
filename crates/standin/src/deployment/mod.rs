//! The two deployments on which figures are measured.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use savorylane_intent::Document;
use savorylane_intent::document::{Class, Service, Target, Work};
use savorylane_intent::hosts::{Host, State};

use crate::load::{self, Keys, Rate};
use crate::upstream::{self, Distribution};

/// One-way latency between data centres of a region.
pub const DATA_CENTRE_DELAY: Duration = Duration::from_micros(1_500);
/// One-way latency between regions.
pub const REGION_DELAY: Duration = Duration::from_millis(20);
/// One-way latency between callers and their entry.
pub const CALLER_DELAY: Duration = Duration::from_millis(10);
/// Bandwidth between each pair of regions, per direction (4 Gbit/s).
pub const REGION_BYTES_PER_SECOND: f64 = 500e6;
/// Median service time of short work.
pub const SHORT_MEDIAN: Duration = Duration::from_millis(4);
/// Median service time of long work: 100 times that of short work.
pub const LONG_MEDIAN: Duration = Duration::from_millis(400);
/// Shape (sigma of the logarithm) of the service times. With this value, the
/// 99th percentile is twice the median.
pub const SERVICE_TIME_SIGMA: f64 = 0.3;

/// A data centre and its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Unique name.
    pub name: &'static str,
    /// Region.
    pub region: &'static str,
}

/// A deployment at its present size. Methods with a parameter `hosts` scale it
/// to another number of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Data centres. The platform is in the region of the first.
    pub data_centres: Vec<DataCentre>,
    /// Services and classes with their targets, as document number 1.
    pub document: Document,
    /// Number of upstream hosts.
    pub hosts: usize,
    /// Number of slots of each upstream.
    pub slots: usize,
    /// Number of connections from callers to each upstream.
    pub caller_connections: usize,
    /// Factor on service times that makes the deployment fit onto one machine:
    /// the capacity is divided by this factor.
    pub scale: f64,
}

/// Location and service of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Unique name of the host.
    pub name: String,
    /// Data centre and region.
    pub data_centre: DataCentre,
    /// Service that the upstream of the host provides.
    pub service: String,
}

impl Placement {
    /// Returns the description of the host for the host list. `ports` are the
    /// addresses of its entry, data, control and operator ports, in this order.
    pub fn host(&self, ports: [SocketAddr; 4]) -> Host {
        let [entry, data, control, operator] = ports;
        Host {
            name: self.name.clone(),
            region: self.data_centre.region.into(),
            data_centre: self.data_centre.name.into(),
            service: self.service.clone(),
            entry,
            data,
            control,
            operator,
            state: State::Live,
            instance: None,
            slots: None,
            lapsed: false,
            evacuated: false,
            cold_ms: 0,
        }
    }
}

/// Returns the deployment of Testata.
pub fn testata() -> Deployment {
    let classes = vec![
        short_class("browse", "catalogo", "GET"),
        short_class("confirm", "ordini", "POST"),
        short_class("preview", "grafica", "GET"),
        long_class("upload", "grafica", "POST"),
        long_class("replace", "grafica", "PUT"),
    ];
    let data_centres = [
        ["mi-a", "lombardy"],
        ["bg-b", "lombardy"],
        ["vr-a", "veneto"],
        ["pd-b", "veneto"],
        ["to-a", "piedmont"],
        ["no-b", "piedmont"],
    ];
    deployment(
        "testata",
        ["catalogo", "ordini", "grafica"],
        classes,
        data_centres,
        6,
        120,
    )
}

/// Returns the deployment of Skräpplock.
pub fn skrapplock() -> Deployment {
    let classes = vec![
        short_class("stock", "lager", "GET"),
        short_class("book", "utlan", "POST"),
        short_class("view", "rapport", "GET"),
        long_class("report", "rapport", "POST"),
        long_class("replace", "rapport", "PUT"),
    ];
    let data_centres = [
        ["sv-a", "svealand"],
        ["sv-b", "svealand"],
        ["go-a", "gotaland"],
        ["go-b", "gotaland"],
        ["no-a", "norrland"],
        ["no-b", "norrland"],
    ];
    deployment(
        "skrapplock",
        ["lager", "utlan", "rapport"],
        classes,
        data_centres,
        18,
        110,
    )
}

fn deployment(
    name: &str,
    services: [&str; 3],
    classes: Vec<Class>,
    data_centres: [[&'static str; 2]; 6],
    slots: usize,
    caller_connections: usize,
) -> Deployment {
    let services = services.map(Service::new);
    Deployment {
        data_centres: data_centres
            .map(|[name, region]| DataCentre { name, region })
            .to_vec(),
        document: Document {
            number: 1,
            deployment: name.into(),
            services: services.to_vec(),
            classes,
            limits: None,
        },
        hosts: 18,
        slots,
        caller_connections,
        scale: 1.0,
    }
}

/// Returns a class of short work. Short reads are shed before short writes,
/// because losing a write costs more.
fn short_class(name: &str, service: &str, method: &str) -> Class {
    let idempotent = method == "GET";
    class(
        name,
        service,
        method,
        Work::Short,
        idempotent,
        u8::from(idempotent),
    )
}

fn long_class(name: &str, service: &str, method: &str) -> Class {
    class(name, service, method, Work::Long, method == "PUT", 2)
}

fn class(
    name: &str,
    service: &str,
    method: &str,
    work: Work,
    idempotent: bool,
    shed_order: u8,
) -> Class {
    let latency_ms = match work {
        Work::Short => 100,
        Work::Long => 5_000,
    };
    Class {
        name: name.into(),
        service: service.into(),
        path_prefix: format!("/{service}/"),
        methods: vec![method.into()],
        work,
        idempotent,
        target: Target {
            latency_ms,
            quantile: 0.99,
            success: 0.999,
        },
        shed_order,
        authority: None,
        split: Vec::new(),
        timeout_ms: None,
        attempts: None,
        homes: Vec::new(),
    }
}

impl Deployment {
    /// Returns the placements of `hosts` hosts. Hosts are distributed over the
    /// services, and the hosts of each service over the data centres, in a
    /// round-robin manner.
    pub fn placements(&self, hosts: usize) -> Vec<Placement> {
        let services = &self.document.services;
        let placement = |n: usize| {
            let service = &services[n % services.len()].name;
            let round = n / services.len();
            let data_centre = self.data_centres[round % self.data_centres.len()];
            Placement {
                name: format!("{service}-{}-{round}", data_centre.name),
                data_centre,
                service: service.clone(),
            }
        };
        (0..hosts).map(placement).collect()
    }

    /// Returns the number of hosts in each data centre for `hosts` hosts in
    /// total.
    pub fn hosts_per_data_centre(&self, hosts: usize) -> Vec<(DataCentre, usize)> {
        let placements = self.placements(hosts);
        let count = |data_centre: &DataCentre| {
            let hosts = placements
                .iter()
                .filter(|placement| placement.data_centre == *data_centre);
            (*data_centre, hosts.count())
        };
        self.data_centres.iter().map(count).collect()
    }

    /// Returns the one-way latency between two data centres.
    pub fn delay(a: DataCentre, b: DataCentre) -> Duration {
        if a == b {
            return Duration::ZERO;
        }
        match a.region == b.region {
            true => DATA_CENTRE_DELAY,
            false => REGION_DELAY,
        }
    }

    /// Returns the settings of an upstream of `service`. The unscaled median
    /// service time is [`SHORT_MEDIAN`] for paths below `/<service>/short/` and
    /// [`LONG_MEDIAN`] for paths below `/<service>/long/`, which are the paths
    /// that [`Deployment::class_load`] uses. Other paths are answered with 404.
    pub fn upstream_settings(&self, service: &str, seed: u64) -> upstream::Settings {
        let path_settings = |path: String, median: Duration| upstream::Service {
            path_prefix: path,
            service_time: Distribution::LogNormal(median.mul_f64(self.scale), SERVICE_TIME_SIGMA),
            fill: 256,
        };
        upstream::Settings {
            slots: self.slots,
            services: vec![
                path_settings(format!("/{service}/short/"), SHORT_MEDIAN),
                path_settings(format!("/{service}/long/"), LONG_MEDIAN),
            ],
            seed,
            ..upstream::Settings::default()
        }
    }

    /// Returns the number of short requests per second that one upstream can
    /// serve.
    pub fn upstream_capacity(&self) -> f64 {
        self.slots as f64 / self.mean_service_time(SHORT_MEDIAN).as_secs_f64()
    }

    /// Returns the mean service time, scaled, of work with the unscaled median
    /// `median`.
    pub fn mean_service_time(&self, median: Duration) -> Duration {
        // Mean of a log-normal distribution.
        median.mul_f64(self.scale * (SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0).exp())
    }

    /// Returns the load of the class `name`, with arrivals at `rate`.
    ///
    /// # Panics
    ///
    /// Panics if the document does not contain the class.
    pub fn class_load(&self, name: &str, rate: Rate) -> load::Class {
        let mut classes = self.document.classes.iter();
        let class = classes
            .find(|class| class.name == name)
            .expect("the document contains the class");
        let method = Method::from_bytes(class.methods[0].as_bytes()).expect("a valid method");
        let (kind, body_bytes, timeout) = match class.work {
            Work::Short => ("short", 512, Duration::from_secs(1)),
            Work::Long => ("long", 256 * 1024, Duration::from_secs(10)),
        };
        load::Class {
            name: name.into(),
            path: format!("{}{kind}/{name}", class.path_prefix),
            body_bytes: if method == Method::GET { 0 } else { body_bytes },
            method,
            timeout,
            keys: match class.idempotent {
                true => Keys::None,
                false => Keys::Opaque,
            },
            rate,
        }
    }
}
