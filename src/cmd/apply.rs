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

/// Nodes of each hall to which an accepted revision is handed directly.
const PUSHED_PER_HALL: usize = 2;

/// What the operator asks for.
pub struct Request {
    /// Revision of the plan.
    pub base: u64,
    /// Who.
    pub who: String,
    /// Why.
    pub why: String,
    /// Identity of an earlier try.
    pub id: Option<String>,
    /// Number above which the revision is counted.
    pub floor: u64,
    /// File with the fleet's key.
    pub key_file: Option<PathBuf>,
    /// Calls without an answer before giving up.
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
        if let Err(error) = hand_out(&client, head, path).await {
            eprintln!("drumwheel: accepted, but not handed to nodes directly: {error}");
        }
    }
    messages::outcome(&outcome, &id, format == Format::Json)
}

/// Hands the accepted revision to a few nodes of each hall, so that it takes hold even if the
/// platform fails right now.
async fn hand_out(client: &Client, head: &Head, key_file: &Path) -> Result<()> {
    let key = read_key(key_file)?;
    let configuration = operator::configuration(client, head.clone()).await?;
    let list = operator::vms(client).await?;
    let mut handed: std::collections::BTreeMap<&str, usize> = std::collections::BTreeMap::new();
    for vm in list.vms.iter().filter(|vm| !vm.leaving) {
        let count = handed.entry(vm.hall.as_str()).or_insert(0);
        if *count < PUSHED_PER_HALL && push(&vm.operators, &key, &configuration).await {
            *count += 1;
        }
    }
    let missed: Vec<&str> = handed
        .into_iter()
        .filter(|(_, count)| *count == 0)
        .map(|(hall, _)| hall)
        .collect();
    if missed.is_empty() {
        return Ok(());
    }
    let cause = format!("no node took it in: {}", missed.join(", "));
    Err(Error::new(Step::Operators, "nodes", cause))
}

async fn push(address: &str, key: &str, configuration: &Configuration) -> bool {
    match operator::push(address, key, configuration).await {
        // A node that is checking it, because it came another way, has it as well.
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
