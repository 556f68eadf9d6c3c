//! Arguments as the operator gives them, before their values are checked.
//!
//! Values are taken as text, so that [`crate::settings`] can name the flag,
//! the value and what is accepted, whether the value comes from a flag or
//! from the environment.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser};

/// Edits intent documents, shows the state of a deployment and drains hosts
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(crate) enum Arguments {
    /// Sets, changes or withdraws the target of a class
    #[bpaf(command)]
    Target(#[bpaf(external(target), map(Box::new))] Box<Target>),

    /// Checks a document as every daemon does, and shows its version
    #[bpaf(command)]
    Validate {
        #[bpaf(external)]
        output: Option<String>,
        /// Intent document; `-` reads from standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Shows the changes from one document to another
    #[bpaf(command)]
    Diff {
        #[bpaf(external)]
        output: Option<String>,
        /// Earlier intent document
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// Later intent document
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },

    /// Writes the manifest and the parts of a document as platform values
    ///
    /// A file is named after the key of its value, with `%2F` for `/`. The
    /// manifest, `intent`, is written last and must be published last.
    #[bpaf(command)]
    Split {
        #[bpaf(external)]
        output: Option<String>,
        /// Folder for the values; created if it is missing
        #[bpaf(long, env("SAVORYLANE_OUT"), argument("DIR"))]
        out: PathBuf,
        /// Intent document; `-` reads from standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Shows one request's life from the logs of the hosts
    ///
    /// Lists the lines of the request and of the calls made while it ran, in
    /// the order of their times, and says which lines are missing.
    #[bpaf(command)]
    Explain {
        #[bpaf(external)]
        output: Option<String>,
        /// Id of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Log files of the hosts; `-` reads from standard input
        #[bpaf(positional("FILE"), many)]
        files: Vec<PathBuf>,
    },

    /// Shows whether the targets are met, and the version of each host
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        daemon: Daemon,
        /// Requests to count, by where they entered: `host`, `data-centre` or
        /// `fleet`; `fleet` by default
        #[bpaf(long, env("SAVORYLANE_SCOPE"), argument("SCOPE"))]
        scope: Option<String>,
    },

    /// Waits until all live hosts have a version in force
    #[bpaf(command)]
    Wait {
        #[bpaf(external)]
        daemon: Daemon,
        /// Number of the version
        #[bpaf(long, env("SAVORYLANE_VERSION"), argument("NUMBER"))]
        version: Option<String>,
        /// First hexadecimal digits of the hash of the version
        #[bpaf(long, env("SAVORYLANE_HASH"), argument("PREFIX"))]
        hash: Option<String>,
        /// Longest wait, in seconds
        #[bpaf(long, env("SAVORYLANE_LIMIT_S"), argument("SECONDS"))]
        limit_s: Option<String>,
    },

    /// Shows the audit trail of a daemon
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        daemon: Daemon,
        /// Shows entries after this sequence number; 0 by default
        #[bpaf(long, env("SAVORYLANE_AFTER"), argument("SEQUENCE"))]
        after: Option<String>,
        /// Shows at most this many entries; 100 by default
        #[bpaf(long, env("SAVORYLANE_MOST"), argument("COUNT"))]
        most: Option<String>,
    },

    /// Makes a host leave, and waits until it runs nothing
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        daemon: Daemon,
        /// Longest wait, in seconds; 60 by default
        #[bpaf(long, env("SAVORYLANE_LIMIT_S"), argument("SECONDS"))]
        limit_s: Option<String>,
    },
}

/// Daemon to ask, and the form of the result.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Daemon {
    #[bpaf(external)]
    pub(crate) output: Option<String>,
    /// Address of the daemon's operator port
    #[bpaf(long, env("SAVORYLANE_OPERATOR"), argument("IP:PORT"))]
    pub(crate) operator: Option<String>,
}

/// Edit of a class and its target.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Target {
    /// Adds a class with its target
    ///
    /// All fields but `--shed-order` are needed.
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        files: Files,
        #[bpaf(external)]
        fields: Fields,
        /// Whether to add the service if the document lacks it: `true` or
        /// `false`; `false` by default
        #[bpaf(long, env("SAVORYLANE_ADD_SERVICE"), argument("BOOL"))]
        add_service: Option<String>,
    },

    /// Changes the target or other fields of a class
    #[bpaf(command)]
    Change {
        #[bpaf(external)]
        files: Files,
        #[bpaf(external)]
        fields: Fields,
    },

    /// Removes a class with its target
    #[bpaf(command)]
    Withdraw {
        #[bpaf(external)]
        files: Files,
        /// Whether to remove the service of the class as well, which no other
        /// class may use: `true` or `false`; `false` by default
        #[bpaf(long, env("SAVORYLANE_REMOVE_SERVICE"), argument("BOOL"))]
        remove_service: Option<String>,
    },
}

/// What is edited, and where the next version goes.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Files {
    #[bpaf(external)]
    pub(crate) output: Option<String>,
    /// Intent document; standard input by default
    #[bpaf(long("in"), env("SAVORYLANE_IN"), argument("FILE"), fallback("-".into()))]
    pub(crate) input: PathBuf,
    /// File for the next version; standard output by default
    #[bpaf(long, env("SAVORYLANE_OUT"), argument("FILE"), fallback("-".into()))]
    pub(crate) out: PathBuf,
    /// Name of the class
    #[bpaf(long, env("SAVORYLANE_CLASS"), argument("NAME"))]
    pub(crate) class: String,
}

/// Fields of a class.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Fields {
    /// Service that runs the work
    #[bpaf(long, env("SAVORYLANE_SERVICE"), argument("NAME"))]
    pub(crate) service: Option<String>,
    /// Requests whose path starts with this belong to the class
    #[bpaf(long, env("SAVORYLANE_PATH_PREFIX"), argument("PREFIX"))]
    pub(crate) path_prefix: Option<String>,
    /// HTTP methods of the class, separated by commas
    #[bpaf(long, env("SAVORYLANE_METHODS"), argument("METHODS"))]
    pub(crate) methods: Option<String>,
    /// Expected length of the work: `short` or `long`
    #[bpaf(long, env("SAVORYLANE_WORK"), argument("LENGTH"))]
    pub(crate) work: Option<String>,
    /// Whether the work may run twice: `true` or `false`
    #[bpaf(long, env("SAVORYLANE_IDEMPOTENT"), argument("BOOL"))]
    pub(crate) idempotent: Option<String>,
    /// Latency that the quantile must not exceed, in milliseconds
    #[bpaf(long, env("SAVORYLANE_LATENCY_MS"), argument("MS"))]
    pub(crate) latency_ms: Option<String>,
    /// Share of the answers within the latency
    #[bpaf(long, env("SAVORYLANE_QUANTILE"), argument("SHARE"))]
    pub(crate) quantile: Option<String>,
    /// Share of the requests that must be answered with success
    #[bpaf(long, env("SAVORYLANE_SUCCESS"), argument("SHARE"))]
    pub(crate) success: Option<String>,
    /// Classes with a higher value are shed first; 0 by default
    #[bpaf(long, env("SAVORYLANE_SHED_ORDER"), argument("ORDER"))]
    pub(crate) shed_order: Option<String>,
}

fn output() -> impl Parser<Option<String>> {
    bpaf::long("output")
        .env("SAVORYLANE_OUTPUT")
        .help("Form of the result: `human` or `json`; `human` by default")
        .argument::<String>("FORM")
        .optional()
}
