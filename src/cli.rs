//! Arguments of the command line.

use bpaf::{Bpaf, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

impl std::str::FromStr for Format {
    type Err = String;
    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            other => Err(format!("{other:?} is neither text nor json")),
        }
    }
}

const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 invalid input; 3 conflict with another \
                          operator's change; 4 outcome unknown, run again with the same id.";

/// Command-line tool for operators of drumwheel.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Print the path of one request, from the log lines of all nodes
    #[bpaf(command)]
    Explain {
        /// Identifier of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Files with log lines; standard input if none is given
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Check a directory of declarations and run its examples
    #[bpaf(command)]
    Check {
        /// Directory with services.ini
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show what would change, and the base revision for `apply`
    #[bpaf(command)]
    Plan {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        format: Format,
        /// Directory with services.ini
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Bring declarations into force
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        format: Format,
        /// Revision that the plan was made on; 0 for the first
        base: u64,
        /// Name of the operator who makes the change
        who: String,
        /// Reason for the change
        why: String,
        /// Identifier of the change; repeat that of an earlier try to learn its outcome
        id: Option<String>,
        /// Number the new revision above this one, for a platform that was restored from an older
        /// copy
        #[bpaf(fallback(0))]
        floor: u64,
        /// File with the fleet's key; if given, the revision is also sent to nodes directly
        key_file: Option<PathBuf>,
        /// Number of calls without an answer before giving up
        #[bpaf(fallback(5))]
        tries: u32,
        /// Directory with services.ini
        #[bpaf(positional("DIR"))]
        dir: PathBuf,
    },
    /// Show the revision in force on every node
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        format: Format,
    },
    /// Show who changed what, when and why
    #[bpaf(command)]
    History {
        #[bpaf(external)]
        platform: SocketAddr,
        #[bpaf(external)]
        format: Format,
        /// Maximum number of changes
        #[bpaf(fallback(20))]
        most: usize,
        /// Show the difference made by each change
        diff: bool,
    },
    /// Show the quarantined requests: upstreams terminated while they processed them, so none
    /// receives them
    #[bpaf(command)]
    Held {
        /// Operators' address of any node
        node: String,
        #[bpaf(external)]
        format: Format,
    },
    /// Release a request from quarantine on all nodes
    #[bpaf(command)]
    Release {
        /// Operators' address of any node
        node: String,
        /// File with the fleet's key
        key_file: PathBuf,
        /// Name of the operator who releases it
        who: String,
        /// Reason for the release
        why: String,
        /// Fingerprint of the request, as shown by `held` and in log lines
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
    /// Drain a node's upstream: it gets no new work
    #[bpaf(command)]
    Drain {
        /// Operators' address of the node
        node: String,
        /// File with the fleet's key
        key_file: PathBuf,
        /// End the drain
        undo: bool,
    },
}

fn platform() -> impl Parser<SocketAddr> {
    bpaf::long("platform")
        .help("Address of the platform's object API")
        .argument::<SocketAddr>("ADDRESS")
}

fn format() -> impl Parser<Format> {
    bpaf::long("format")
        .help("Output format: text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}
