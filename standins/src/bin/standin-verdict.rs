//! Compares the outcomes at the callers with the runs of the upstreams. Exits with 1 if a guarantee was
//! violated.

use bpaf::Bpaf;
use standins::ledger;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::process::ExitCode;

/// Compares the outcomes at the callers with the runs of the upstreams
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Args {
    /// Directory with files `ledger-*` and `outcomes-*`
    #[bpaf(positional("DIR"))]
    dir: PathBuf,
}

#[derive(Debug, Default)]
struct Verdict {
    calls: u64,
    outcomes: BTreeMap<String, u64>,
    duplicate_runs: Vec<String>,
    ran_though_not_run: Vec<String>,
    wrong: u64,
}

fn main() -> std::io::Result<ExitCode> {
    let args = args().run();
    let runs = ledger::runs(&files(&args.dir, "ledger-")?)?;
    let mut verdict = Verdict::default();
    let mut last_outcomes: HashMap<String, (bool, String)> = HashMap::new();
    for file in files(&args.dir, "outcomes-")? {
        for fields in ledger::lines(&file)? {
            add_outcome(&mut verdict, &mut last_outcomes, &fields);
        }
    }
    for (id, (is_once, outcome)) in &last_outcomes {
        let count = runs.get(id).copied().unwrap_or(0);
        if *is_once && count > 1 {
            verdict.duplicate_runs.push(id.clone());
        }
        if outcome == "not-run" && count > 0 {
            verdict.ran_though_not_run.push(id.clone());
        }
    }
    print(&verdict);
    let broken = !verdict.duplicate_runs.is_empty()
        || !verdict.ran_though_not_run.is_empty()
        || verdict.wrong > 0;
    Ok(ExitCode::from(u8::from(broken)))
}

/// Adds a line of outcomes: id, kind, outcome, reason, latency, try, and further fields. A later try of
/// the same id replaces the earlier.
fn add_outcome(
    verdict: &mut Verdict,
    last_outcomes: &mut HashMap<String, (bool, String)>,
    fields: &[String],
) {
    let [id, kind, outcome, ..] = fields else {
        return;
    };
    verdict.calls += 1;
    *verdict.outcomes.entry(outcome.clone()).or_insert(0) += 1;
    if outcome == "wrong" {
        verdict.wrong += 1;
    }
    last_outcomes.insert(id.clone(), (kind == "once", outcome.clone()));
}

fn print(verdict: &Verdict) {
    println!("calls                  {}", verdict.calls);
    for (outcome, count) in &verdict.outcomes {
        println!("  {outcome:<20} {count}");
    }
    println!("doubled runs           {}", verdict.duplicate_runs.len());
    println!(
        "not-run that ran       {}",
        verdict.ran_though_not_run.len()
    );
    println!("foreign or cut answers {}", verdict.wrong);
    for id in verdict.duplicate_runs.iter().take(5) {
        println!("  doubled: {id}");
    }
    for id in verdict.ran_though_not_run.iter().take(5) {
        println!("  ran though told not-run: {id}");
    }
}

fn files(dir: &PathBuf, prefix: &str) -> std::io::Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(dir)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or("");
        if name.starts_with(prefix) {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}
