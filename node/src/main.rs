//! `drumwheel-node`: one beside each upstream VM, with entry and home duty.

use bpaf::Bpaf;
use platform::Adapter;
use settings::{FleetSource, LogFormat, Settings};
use std::path::PathBuf;
use std::process::ExitCode;

/// A node of drumwheel: takes callers' requests and guards the upstream beside it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Check the settings, report every problem, and exit: 0 when there is none, 2 otherwise
    check: bool,
    /// The settings file; without it, the file that the variable DRUMWHEEL_CONFIG names
    #[bpaf(positional("SETTINGS"))]
    settings: Option<PathBuf>,
}

/// Names the settings file when the command line does not.
const SETTINGS_VARIABLE: &str = "DRUMWHEEL_CONFIG";
/// Exit code for settings that do not pass the check.
const BAD_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    // Only an `Expect: 100-continue` to the operators' door makes the HTTP library start its own
    // executor. The environment may be changed only while there is no other thread.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let args = args().run();
    let named = args
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(file) = named else {
        eprintln!("drumwheel-node: no settings file: give it, or name it in {SETTINGS_VARIABLE}");
        return ExitCode::from(BAD_SETTINGS);
    };
    let cfg = match Settings::load(&file) {
        Ok(cfg) => cfg,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: no problems", file.display());
        return ExitCode::SUCCESS;
    }
    let log = logs::start(&cfg.log_level, cfg.log_format == LogFormat::Json);
    let ended = daemon::run(
        cfg.clone(),
        adapter(&cfg),
        Box::new(move || Settings::load(&file)),
    );
    log.close();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("drumwheel-node: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The adapter for the platform that the settings name.
fn adapter(cfg: &Settings) -> Option<Box<dyn Adapter>> {
    match cfg.fleet {
        FleetSource::Listed => None,
        FleetSource::Registered => {
            let address = *cfg.platform.first()?;
            Some(Box::new(adapter::Platform::new(address)))
        }
    }
}
