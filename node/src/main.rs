//! `drumwheel-node`: one beside each upstream VM, with entry and home duty.

use bpaf::Bpaf;
use settings::{LogFormat, Settings};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// A node of drumwheel: takes callers' requests and guards the upstream beside it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Check the settings, report every problem, and exit: 0 when there is none, 2 otherwise
    check: bool,
    /// The settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

/// Exit code for settings that do not pass the check.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = args().run();
    let cfg = match Settings::load(&args.settings) {
        Ok(cfg) => cfg,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: no problems", args.settings.display());
        return ExitCode::SUCCESS;
    }
    start_log(&cfg);
    match daemon::run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("drumwheel-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_log(cfg: &Settings) {
    let filter = EnvFilter::new(&cfg.log_level);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(false)
        .with_writer(std::io::stderr);
    match cfg.log_format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
}
