//! Validated settings of one run.

mod remote;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use savorylane_intent::bound;
use savorylane_intent::document::{Class, Target, Work};
use savorylane_wire::operator::Scope;

use crate::arguments::{self, Arguments, Fields, Files};
use crate::fault::Fault;
use crate::report::Output;

/// Command of a run, and the format of its result.
#[derive(Debug)]
pub(crate) struct Settings {
    /// Format of the result.
    pub(crate) output: Output,
    /// Command to run.
    pub(crate) command: Command,
}

/// Command with its validated values.
#[derive(Debug)]
pub(crate) enum Command {
    /// Adds, changes or removes a class and its target.
    Target {
        /// Document to edit; `-` is standard input.
        input: PathBuf,
        /// File for the next version; `-` is standard output.
        out: PathBuf,
        /// Name of the class.
        class: String,
        /// Edit of the class.
        edit: Edit,
    },
    /// Validates a document.
    Validate {
        /// Document to validate; `-` is standard input.
        file: PathBuf,
    },
    /// Compares two documents.
    Diff {
        /// Earlier document; `-` is standard input.
        old: PathBuf,
        /// Later document; `-` is standard input.
        new: PathBuf,
    },
    /// Shows the lines of a request in log files.
    Explain {
        /// Id of the request.
        id: String,
        /// Log files; `-` is standard input.
        files: Vec<PathBuf>,
    },
    /// Splits a document into platform values.
    Split {
        /// Document to split; `-` is standard input.
        file: PathBuf,
        /// Folder for the values.
        out: PathBuf,
    },
    /// Calls a daemon.
    Remote {
        /// Address of the daemon's operator port.
        operator: SocketAddr,
        /// Call to make.
        action: Action,
    },
}

/// Command that calls a daemon.
#[derive(Debug)]
pub(crate) enum Action {
    /// Shows the results of the classes and the state of the hosts.
    Status {
        /// Requests to count, by the host at which they entered.
        scope: Scope,
    },
    /// Waits until all live hosts have a version in force.
    Wait {
        /// Version that the hosts must have.
        requirement: Requirement,
        /// Maximum time to wait.
        limit: Duration,
    },
    /// Shows the audit trail.
    Audit {
        /// Sequence number after which the entries start.
        after: u64,
        /// Maximum number of entries to show.
        max_entries: u64,
    },
    /// Drains the host of the daemon.
    Drain {
        /// Maximum time to wait until no work is left.
        limit: Duration,
    },
}

/// Lowest version that every live host must have in force.
#[derive(Debug)]
pub(crate) struct Requirement {
    /// Number of the version.
    pub(crate) number: u64,
    /// First hexadecimal digits of the hash; empty to accept any hash.
    pub(crate) hash: String,
}

/// Edit of a class.
#[derive(Debug)]
pub(crate) enum Edit {
    /// Adds a class.
    Set {
        /// Class to add.
        class: Box<Class>,
        /// Whether to add the service of the class if the document lacks it.
        add_service: bool,
    },
    /// Changes some fields of a class.
    Change(Change),
    /// Removes a class.
    Withdraw {
        /// Whether to remove the service of the class as well.
        remove_service: bool,
    },
}

/// New values of the fields of a class; `None` leaves a field unchanged.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Change {
    service: Option<String>,
    path_prefix: Option<String>,
    methods: Option<Vec<String>>,
    work: Option<Work>,
    idempotent: Option<bool>,
    latency_ms: Option<u32>,
    quantile: Option<f64>,
    success: Option<f64>,
    shed_order: Option<u8>,
}

/// Clause for error messages that lists the flags of `target change`.
const EXPECTED_FIELDS: &str = "expected at least one of --service, --path-prefix, --methods, --work, --idempotent, --latency-ms, --quantile, --success and --shed-order";

/// Clause for error messages that lists the values of a boolean flag.
const EXPECTED_BOOL: &str = "expected `true` or `false`";

/// Validates all values of `arguments`.
///
/// # Errors
///
/// Returns [`Fault::Setting`] for the first value that is not accepted, and
/// [`Fault::Missing`] for a required value that is not given.
pub(crate) fn check(arguments: Arguments) -> Result<Settings, Fault> {
    let (output, command) = match arguments {
        Arguments::Target(target) => return check_target(*target),
        Arguments::Validate { output, file } => (output, Command::Validate { file }),
        Arguments::Diff { output, old, new } => {
            if old.as_os_str() == "-" && new.as_os_str() == "-" {
                let accepted = "expected standard input for at most one of OLD and NEW";
                return Err(Fault::setting("NEW", "-", accepted));
            }
            (output, Command::Diff { old, new })
        }
        Arguments::Split { output, out, file } => {
            if out.as_os_str() == "-" {
                return Err(Fault::setting(
                    "--out",
                    "-",
                    "expected a folder, since `split` writes several files",
                ));
            }
            (output, Command::Split { file, out })
        }
        Arguments::Explain { output, id, files } => {
            if id.is_empty() || files.is_empty() {
                let accepted = "expected the id of a request and at least one log file";
                return Err(Fault::setting("ID", &id, accepted));
            }
            (output, Command::Explain { id, files })
        }
        other => return remote::check(other),
    };
    Ok(Settings {
        output: parse_output(output)?,
        command,
    })
}

fn parse_output(output: Option<String>) -> Result<Output, Fault> {
    match output.as_deref() {
        None | Some("human") => Ok(Output::Human),
        Some("json") => Ok(Output::Json),
        Some(text) => Err(Fault::setting(
            "--output",
            text,
            "expected `human` or `json`",
        )),
    }
}

fn check_target(target: arguments::Target) -> Result<Settings, Fault> {
    use arguments::Target::{Change as ChangeFields, Set, Withdraw};

    let (Set { files, .. } | ChangeFields { files, .. } | Withdraw { files, .. }) = &target;
    let Files {
        output,
        input,
        out,
        class,
    } = files.clone();
    let output = parse_output(output)?;
    let mut sample = sample_class();
    sample.name.clone_from(&class);
    check_class(&sample)?;
    let edit = match target {
        Set {
            fields,
            add_service,
            ..
        } => Edit::Set {
            class: Box::new(Change::check(&fields)?.into_class(&class)?),
            add_service: parse("--add-service", &add_service, EXPECTED_BOOL)?.unwrap_or(false),
        },
        ChangeFields { fields, .. } => {
            let change = Change::check(&fields)?;
            if change.is_empty() {
                return Err(Fault::missing("target change", EXPECTED_FIELDS));
            }
            Edit::Change(change)
        }
        Withdraw { remove_service, .. } => Edit::Withdraw {
            remove_service: parse("--remove-service", &remove_service, EXPECTED_BOOL)?
                .unwrap_or(false),
        },
    };
    Ok(Settings {
        output,
        command: Command::Target {
            input,
            out,
            class,
            edit,
        },
    })
}

impl Change {
    fn check(fields: &Fields) -> Result<Self, Fault> {
        let expected_share = "expected a number with at most 6 decimals, such as 0.99";
        let expected_latency = format!(
            "expected an integer from {} to {}",
            bound::DURATIONS_MS.start(),
            bound::DURATIONS_MS.end()
        );
        let change = Self {
            service: fields.service.clone(),
            path_prefix: fields.path_prefix.clone(),
            methods: fields
                .methods
                .as_ref()
                .map(|text| text.split(',').map(String::from).collect()),
            work: match fields.work.as_deref() {
                None => None,
                Some("short") => Some(Work::Short),
                Some("long") => Some(Work::Long),
                Some(text) => {
                    let accepted = "expected `short` or `long`";
                    return Err(Fault::setting("--work", text, accepted));
                }
            },
            idempotent: parse("--idempotent", &fields.idempotent, EXPECTED_BOOL)?,
            latency_ms: parse("--latency-ms", &fields.latency_ms, &expected_latency)?,
            quantile: parse("--quantile", &fields.quantile, expected_share)?,
            success: parse("--success", &fields.success, expected_share)?,
            shed_order: parse(
                "--shed-order",
                &fields.shed_order,
                "expected an integer from 0 to 255",
            )?,
        };
        let mut sample = sample_class();
        change.apply(&mut sample);
        check_class(&sample)?;
        Ok(change)
    }

    /// Returns whether all fields are left unchanged.
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Sets the fields of `class` that have a new value.
    pub(crate) fn apply(&self, class: &mut Class) {
        fn set<Value: Clone>(field: &mut Value, value: &Option<Value>) {
            if let Some(value) = value {
                field.clone_from(value);
            }
        }
        set(&mut class.service, &self.service);
        set(&mut class.path_prefix, &self.path_prefix);
        set(&mut class.methods, &self.methods);
        set(&mut class.work, &self.work);
        set(&mut class.idempotent, &self.idempotent);
        set(&mut class.target.latency_ms, &self.latency_ms);
        set(&mut class.target.quantile, &self.quantile);
        set(&mut class.target.success, &self.success);
        set(&mut class.shed_order, &self.shed_order);
    }

    /// Returns a new class with these values.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Missing`] for the first field without a value; only the
    /// shed order has a default, 0.
    fn into_class(self, name: &str) -> Result<Class, Fault> {
        fn require<Value>(flag: &str, value: Option<Value>) -> Result<Value, Fault> {
            value.ok_or_else(|| Fault::missing(flag, "required by `target set`"))
        }
        Ok(Class {
            name: name.into(),
            service: require("--service", self.service)?,
            path_prefix: require("--path-prefix", self.path_prefix)?,
            methods: require("--methods", self.methods)?,
            work: require("--work", self.work)?,
            idempotent: require("--idempotent", self.idempotent)?,
            target: Target {
                latency_ms: require("--latency-ms", self.latency_ms)?,
                quantile: require("--quantile", self.quantile)?,
                success: require("--success", self.success)?,
            },
            shed_order: self.shed_order.unwrap_or(0),
            authority: None,
            split: Vec::new(),
            timeout_ms: None,
            attempts: None,
            homes: Vec::new(),
        })
    }
}

/// Returns a valid class. To validate single fields, the caller replaces them
/// and passes the class to [`check_class`].
fn sample_class() -> Class {
    Class {
        name: "class".into(),
        service: "service".into(),
        path_prefix: "/".into(),
        methods: vec!["GET".into()],
        work: Work::Short,
        idempotent: true,
        target: Target {
            latency_ms: 1,
            quantile: 0.5,
            success: 0.5,
        },
        shed_order: 0,
        authority: None,
        split: Vec::new(),
        timeout_ms: None,
        attempts: None,
        homes: Vec::new(),
    }
}

/// Validates a class by the rules for the classes of a document.
///
/// # Errors
///
/// Returns [`Fault::Setting`] with the flag that sets the invalid field.
fn check_class(class: &Class) -> Result<(), Fault> {
    class.check("class").map_err(|fault| match fault {
        savorylane_intent::Fault::Value {
            field,
            value,
            accepted,
        } => Fault::Setting {
            flag: match field.rsplit('.').next() {
                None | Some("name") => "--class".into(),
                Some(name) => format!("--{}", name.replace('_', "-")),
            },
            value,
            accepted,
        },
        source => Fault::Refused {
            file: "class".into(),
            source,
        },
    })
}

fn parse<Value: FromStr>(
    flag: &str,
    text: &Option<String>,
    accepted: &str,
) -> Result<Option<Value>, Fault> {
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(Fault::setting(flag, text, accepted)),
    }
}
