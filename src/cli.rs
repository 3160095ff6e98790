//! The command line.

use bpaf::{Bpaf, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Form of the output.
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

const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 bad input; 3 conflict with another \
                          operator's change; 4 unknown, ask again with the same id.";

/// Operators' tool of drumwheel.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Print the path of one request, from the log lines of all nodes
    #[bpaf(command)]
    Explain {
        /// The request's identity
        #[bpaf(positional("ID"))]
        id: String,
        /// Files with log lines; standard input without any
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
    /// Show what would change, and the base revision that apply needs
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
        /// Who makes the change
        who: String,
        /// Why
        why: String,
        /// Identity of the change; give that of an earlier try to learn what became of it
        id: Option<String>,
        /// Number the new revision above this one, for a platform that was restored from an old copy
        #[bpaf(fallback(0))]
        floor: u64,
        /// File with the fleet's key; with it the revision is also handed to nodes directly
        key_file: Option<PathBuf>,
        /// Calls without an answer before giving up
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
        /// Changes at most
        #[bpaf(fallback(20))]
        most: usize,
        /// Show the difference that each change made
        diff: bool,
    },
    /// Show the requests that no upstream sees, because upstreams ended while they ran them
    #[bpaf(command)]
    Held {
        /// The operators' address of any node
        node: String,
        #[bpaf(external)]
        format: Format,
    },
    /// Free such a request; all nodes are told
    #[bpaf(command)]
    Release {
        /// The operators' address of any node
        node: String,
        /// File with the fleet's key
        key_file: PathBuf,
        /// Who frees it
        who: String,
        /// Why
        why: String,
        /// The request's fingerprint, as `held` and log lines name it
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
    /// Make a node's upstream take no new work
    #[bpaf(command)]
    Drain {
        /// The node's operators' address
        node: String,
        /// File with the fleet's key
        key_file: PathBuf,
        /// Take new work again
        undo: bool,
    },
}

/// Address of the platform's object API.
fn platform() -> impl Parser<SocketAddr> {
    bpaf::long("platform")
        .help("Address of the platform's object API")
        .argument::<SocketAddr>("ADDRESS")
}

/// Form of the output.
fn format() -> impl Parser<Format> {
    bpaf::long("format")
        .help("text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}
