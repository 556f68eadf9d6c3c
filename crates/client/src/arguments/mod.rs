//! Arguments of the command line, before their values are validated.
//!
//! Values are parsed as text, so that errors of [`crate::settings`] can name
//! the flag, the value and what is expected, whether the value comes from a
//! flag or from the environment. The doc comments are the help texts.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser};

/// Edits intent documents, shows the state of a deployment and drains hosts
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub(crate) enum Arguments {
    /// Adds, changes or removes a class and its target
    #[bpaf(command)]
    Target(#[bpaf(external(target), map(Box::new))] Box<Target>),

    /// Validates a document by the rules of the daemons, and shows its version
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
        /// Earlier intent document; `-` reads from standard input
        #[bpaf(positional("OLD"))]
        old: PathBuf,
        /// Later intent document; `-` reads from standard input
        #[bpaf(positional("NEW"))]
        new: PathBuf,
    },

    /// Writes the manifest and the parts of a document as platform values
    ///
    /// Each value is written to a file named after its key, with `%2F` for `/`.
    /// The manifest, `intent`, is written last and must be published last, so
    /// that it never names a part that the platform lacks.
    #[bpaf(command)]
    Split {
        #[bpaf(external)]
        output: Option<String>,
        /// Folder for the values; created if it does not exist
        #[bpaf(long, env("SAVORYLANE_OUT"), argument("DIR"))]
        out: PathBuf,
        /// Intent document; `-` reads from standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },

    /// Shows the log lines of one request from the log files of the hosts
    ///
    /// Lists the lines of the request and of the calls that were made while it
    /// ran, sorted by time, and reports which expected lines are missing.
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

    /// Shows whether the targets are met, and the version in force at each host
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        daemon: Daemon,
        /// Requests to count: those that entered at the daemon's `host`, in its
        /// `data-centre` or anywhere in the `fleet`; `fleet` by default
        #[bpaf(long, env("SAVORYLANE_SCOPE"), argument("SCOPE"))]
        scope: Option<String>,
    },

    /// Waits until all live hosts have a version, or a later one, in force
    #[bpaf(command)]
    Wait {
        #[bpaf(external)]
        daemon: Daemon,
        /// Number of the version
        #[bpaf(long, env("SAVORYLANE_VERSION"), argument("NUMBER"))]
        version: Option<String>,
        /// First hexadecimal digits of the hash of the version; any hash by
        /// default
        #[bpaf(long, env("SAVORYLANE_HASH"), argument("PREFIX"))]
        hash: Option<String>,
        /// Maximum time to wait, in seconds
        #[bpaf(long, env("SAVORYLANE_LIMIT_S"), argument("SECONDS"))]
        limit_s: Option<String>,
    },

    /// Shows the audit trail of a daemon
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        daemon: Daemon,
        /// Sequence number after which the entries start; 0 by default
        #[bpaf(long, env("SAVORYLANE_AFTER"), argument("SEQUENCE"))]
        after: Option<String>,
        /// Maximum number of entries to show; 100 by default
        #[bpaf(long, env("SAVORYLANE_MOST"), argument("COUNT"))]
        most: Option<String>,
    },

    /// Drains a host, and waits until no work is running or queued there
    #[bpaf(command)]
    Drain {
        #[bpaf(external)]
        daemon: Daemon,
        /// Maximum time to wait, in seconds; 60 by default
        #[bpaf(long, env("SAVORYLANE_LIMIT_S"), argument("SECONDS"))]
        limit_s: Option<String>,
    },
}

/// Daemon to call, and format of the result.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Daemon {
    #[bpaf(external)]
    pub(crate) output: Option<String>,
    /// Address of the daemon's operator port
    #[bpaf(long, env("SAVORYLANE_OPERATOR"), argument("IP:PORT"))]
    pub(crate) operator: Option<String>,
}

/// Edits of a class and its target.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum Target {
    /// Adds a class with its target
    ///
    /// All fields except `--shed-order` are required.
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        files: Files,
        #[bpaf(external)]
        fields: Fields,
        /// Whether to add the service to the document if it is not listed:
        /// `true` or `false`; `false` by default
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
        /// Whether to remove the service of the class as well, which fails if
        /// another class uses it: `true` or `false`; `false` by default
        #[bpaf(long, env("SAVORYLANE_REMOVE_SERVICE"), argument("BOOL"))]
        remove_service: Option<String>,
    },
}

/// Class to edit, document that contains it, and destination of the result.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Files {
    #[bpaf(external)]
    pub(crate) output: Option<String>,
    /// Intent document to edit; standard input by default
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
    /// Service that runs the requests
    #[bpaf(long, env("SAVORYLANE_SERVICE"), argument("NAME"))]
    pub(crate) service: Option<String>,
    /// Prefix of the paths that belong to the class
    #[bpaf(long, env("SAVORYLANE_PATH_PREFIX"), argument("PREFIX"))]
    pub(crate) path_prefix: Option<String>,
    /// HTTP methods of the class, separated by commas
    #[bpaf(long, env("SAVORYLANE_METHODS"), argument("METHODS"))]
    pub(crate) methods: Option<String>,
    /// Expected duration of the requests: `short` or `long`
    #[bpaf(long, env("SAVORYLANE_WORK"), argument("LENGTH"))]
    pub(crate) work: Option<String>,
    /// Whether running a request twice has the same effect as running it once:
    /// `true` or `false`
    #[bpaf(long, env("SAVORYLANE_IDEMPOTENT"), argument("BOOL"))]
    pub(crate) idempotent: Option<String>,
    /// Latency that the share `--quantile` of the answers must not exceed, in
    /// milliseconds
    #[bpaf(long, env("SAVORYLANE_LATENCY_MS"), argument("MS"))]
    pub(crate) latency_ms: Option<String>,
    /// Share of the answers that must arrive within the latency
    #[bpaf(long, env("SAVORYLANE_QUANTILE"), argument("SHARE"))]
    pub(crate) quantile: Option<String>,
    /// Share of the requests that must succeed
    #[bpaf(long, env("SAVORYLANE_SUCCESS"), argument("SHARE"))]
    pub(crate) success: Option<String>,
    /// Under overload, classes with a higher value are shed first; 0 by default
    #[bpaf(long, env("SAVORYLANE_SHED_ORDER"), argument("ORDER"))]
    pub(crate) shed_order: Option<String>,
}

fn output() -> impl Parser<Option<String>> {
    bpaf::long("output")
        .env("SAVORYLANE_OUTPUT")
        .help("Format of the result: `human` or `json`; `human` by default")
        .argument::<String>("FORM")
        .optional()
}
