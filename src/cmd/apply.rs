//! `drumwheel apply`

use crate::cli::Format;
use crate::messages;
use declarations::Bundle;
use errors::{Error, Result, Step};
use platform::Client;
use rollout::{ApplyOutcome, Change, Configuration, Head, Plan};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Number of nodes in each data hall to which an accepted revision is sent directly.
const PUSHED_PER_HALL: usize = 2;

/// The operator's arguments.
pub struct Request {
    /// Revision on which the plan is based.
    pub base: u64,
    /// Name of the operator.
    pub who: String,
    /// Reason for the change.
    pub why: String,
    /// Identifier of the change, given when an earlier try is repeated.
    pub id: Option<String>,
    /// The new revision gets a number above this one.
    pub floor: u64,
    /// File with the fleet's key.
    pub key_file: Option<PathBuf>,
    /// Number of calls without an answer before giving up.
    pub tries: u32,
}

/// Brings a directory of declarations into force.
pub async fn run(platform: SocketAddr, format: Format, request: Request, dir: &Path) -> ExitCode {
    let bundle = match Bundle::read(dir) {
        Ok(bundle) => bundle,
        Err(error) => return messages::failure(&error),
    };
    if let Err(problems) = declarations::check(&bundle) {
        return messages::problems(&problems);
    }
    let client = Client::new(vec![platform]);
    let id = request
        .id
        .clone()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let plan = Plan {
        base: request.base,
        bundle,
        change: Change {
            id: id.clone(),
            who: request.who.clone(),
            when_ms: now_ms(),
            why: request.why.clone(),
        },
        floor: request.floor,
    };
    let outcome = operator::apply(&client, plan, request.tries).await;
    if let (ApplyOutcome::Accepted(head), Some(path)) = (&outcome, &request.key_file) {
        if let Err(error) = push_to_nodes(&client, head, path).await {
            eprintln!("drumwheel: accepted, but not sent to nodes directly: {error}");
        }
    }
    messages::outcome(&outcome, &id, format == Format::Json)
}

/// Sends the accepted revision to a few nodes of each data hall, so that it comes into force even if
/// the platform fails immediately afterwards.
async fn push_to_nodes(client: &Client, head: &Head, key_file: &Path) -> Result<()> {
    let key = read_key(key_file)?;
    let configuration = operator::configuration(client, head.clone()).await?;
    let list = operator::vms(client).await?;
    let mut pushed: std::collections::BTreeMap<&str, usize> = std::collections::BTreeMap::new();
    for vm in list.vms.iter().filter(|vm| !vm.leaving) {
        let count = pushed.entry(vm.hall.as_str()).or_insert(0);
        if *count < PUSHED_PER_HALL && push(&vm.operators, &key, &configuration).await {
            *count += 1;
        }
    }
    let missed_halls: Vec<&str> = pushed
        .into_iter()
        .filter(|(_, count)| *count == 0)
        .map(|(hall, _)| hall)
        .collect();
    if missed_halls.is_empty() {
        return Ok(());
    }
    let cause = format!(
        "no node accepted it in these halls: {}",
        missed_halls.join(", ")
    );
    Err(Error::new(Step::Operators, "nodes", cause))
}

async fn push(address: &str, key: &str, configuration: &Configuration) -> bool {
    match operator::push(address, key, configuration).await {
        // "UnderWay": the node has received the revision by another way and is checking it.
        Ok(answer) => ["Taken", "Same", "UnderWay"].contains(&answer.as_str()),
        Err(_) => false,
    }
}

/// Reads the fleet's key from a file.
pub fn read_key(path: &Path) -> Result<String> {
    std::fs::read_to_string(path)
        .map(|text| text.trim().to_string())
        .map_err(|error| Error::new(Step::Settings, path.display(), error))
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
