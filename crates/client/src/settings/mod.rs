//! Checked settings of one run.

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

/// What to do, and how to report it.
#[derive(Debug)]
pub(crate) struct Settings {
    /// Form of the result.
    pub(crate) output: Output,
    /// What to do.
    pub(crate) command: Command,
}

/// A command with its checked values.
#[derive(Debug)]
pub(crate) enum Command {
    /// Edits the target of a class.
    Target {
        /// Document to edit; `-` is standard input.
        input: PathBuf,
        /// File for the next version; `-` is standard output.
        out: PathBuf,
        /// Name of the class.
        class: String,
        /// The edit.
        edit: Edit,
    },
    /// Checks a document.
    Validate {
        /// The document.
        file: PathBuf,
    },
    /// Compares two documents.
    Diff {
        /// Earlier document.
        old: PathBuf,
        /// Later document.
        new: PathBuf,
    },
    /// Shows a request's life from log files.
    Explain {
        /// Id of the request.
        id: String,
        /// Log files.
        files: Vec<PathBuf>,
    },
    /// Splits a document into platform values.
    Split {
        /// The document.
        file: PathBuf,
        /// Folder for the values.
        out: PathBuf,
    },
    /// Asks a daemon.
    Remote {
        /// Address of its operator port.
        operator: SocketAddr,
        /// What to ask.
        action: Action,
    },
}

/// What a daemon is asked for.
#[derive(Debug)]
pub(crate) enum Action {
    /// Shows results and hosts.
    Status {
        /// Requests to count.
        scope: Scope,
    },
    /// Waits for a version.
    Wait {
        /// The version.
        requirement: Requirement,
        /// Longest wait.
        limit: Duration,
    },
    /// Shows the audit trail.
    Audit {
        /// Sequence number that the entries follow.
        after: u64,
        /// Entries to show at most.
        max_entries: u64,
    },
    /// Drains the host.
    Drain {
        /// Longest wait.
        limit: Duration,
    },
}

/// Version to wait for.
#[derive(Debug)]
pub(crate) struct Requirement {
    /// Number of the version.
    pub(crate) number: u64,
    /// First digits of the hash; empty if any hash will do.
    pub(crate) hash: String,
}

/// Edit of a class.
#[derive(Debug)]
pub(crate) enum Edit {
    /// Adds the class.
    Set {
        /// The class.
        class: Class,
        /// Whether a missing service is added.
        add_service: bool,
    },
    /// Changes the given fields.
    Change(Change),
    /// Removes the class.
    Withdraw {
        /// Whether the service is removed as well.
        remove_service: bool,
    },
}

/// Fields of a class that are to change.
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

/// Flags that `target change` accepts, as its error text states them.
const EXPECTED_FIELDS: &str = "expected at least one of --service, --path-prefix, --methods, --work, --idempotent, --latency-ms, --quantile, --success and --shed-order";

/// Values that a flag for a choice accepts, as error texts state them.
const EXPECTED_BOOL: &str = "expected `true` or `false`";

/// Checks all values of `arguments`.
///
/// # Errors
///
/// Returns [`Fault::Setting`] for the first value that is not accepted.
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
        output: check_output(output)?,
        command,
    })
}

fn check_output(output: Option<String>) -> Result<Output, Fault> {
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
    let output = check_output(output)?;
    let mut sample = sample_class();
    sample.name.clone_from(&class);
    check_class(&sample)?;
    let edit = match target {
        Set {
            fields,
            add_service,
            ..
        } => Edit::Set {
            class: Change::check(&fields)?.into_class(&class)?,
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
            "expected a whole number from {} to {}",
            bound::LATENCY_MS.start(),
            bound::LATENCY_MS.end()
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
                "expected a whole number from 0 to 255",
            )?,
        };
        let mut sample = sample_class();
        change.apply(&mut sample);
        check_class(&sample)?;
        Ok(change)
    }

    /// Returns whether no field is to change.
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Sets the given fields of `class`.
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

    /// Returns a new class; all fields but the shed order must be given.
    fn into_class(self, name: &str) -> Result<Class, Fault> {
        fn require<Value>(flag: &str, value: Option<Value>) -> Result<Value, Fault> {
            value.ok_or_else(|| Fault::missing(flag, "`target set` requires it for the new class"))
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
        })
    }
}

/// Returns a valid class, on which values are tried out.
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
    }
}

/// Checks a class as a document's is checked; the fault names the flag.
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
