//! `model`: simulates loads with the decisions of nodes, in virtual time.

use bpaf::Bpaf;
use model::{Comparison, LoadError, Policy, Scenario, UnknownPolicy};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for bad input, the same as that of the operators' command line.
const BAD_INPUT: u8 = 2;

/// Plays loads through the decisions of nodes, in virtual time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Play a load under each policy and print what became of its callers
    #[bpaf(command)]
    Compare {
        /// Seeds from 0 under which the load is played, 1 to 1000
        #[bpaf(
            argument("N"),
            guard(is_count, "must be 1 to 1000"),
            fallback(3),
            display_fallback
        )]
        seeds: u64,
        /// Where to write bars of value by policy, as SVG
        #[bpaf(argument("FILE"))]
        plot: Option<PathBuf>,
        /// Name of a load in components/model/loads, or a file that ends in .ini
        #[bpaf(positional("LOAD"))]
        load: String,
        /// Names of policies
        #[bpaf(positional("POLICY"), some("at least one policy is needed"))]
        policies: Vec<String>,
    },
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Load(#[from] LoadError),
    #[error("{0}")]
    Policy(#[from] UnknownPolicy),
    #[error("{file}: {cause}", file = file.display())]
    Plot {
        file: PathBuf,
        cause: std::io::Error,
    },
}

fn is_count(seeds: &u64) -> bool {
    (1..=1_000).contains(seeds)
}

fn main() -> ExitCode {
    let Command::Compare {
        seeds,
        plot,
        load,
        policies,
    } = command().run();
    match compare(&load, &policies, seeds, plot) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn compare(
    load: &str,
    policies: &[String],
    seeds: u64,
    plot: Option<PathBuf>,
) -> Result<(), Failure> {
    let scenario = Scenario::open(load)?;
    let policies: Result<Vec<Policy>, _> =
        policies.iter().map(|name| Policy::by_name(name)).collect();
    let comparison = Comparison::run(&scenario, &policies?, seeds);
    print!("{comparison}");
    if let Some(file) = plot {
        std::fs::write(&file, comparison.svg()).map_err(|cause| Failure::Plot { file, cause })?;
    }
    Ok(())
}
