//! `drumwheel-node`: the process that runs next to each upstream, with entry and home duty.

use bpaf::Bpaf;
use buffers::heap::{self, CountingAllocator};
use platform::Adapter;
use settings::{FleetSource, LogFormat, Settings};
use std::path::PathBuf;
use std::process::ExitCode;

/// A node of drumwheel: accepts callers' requests and controls the load of its local upstream.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Check the settings, report all problems and exit: 0 if there are none, 2 otherwise
    check: bool,
    /// Settings file; by default, the file that the environment variable DRUMWHEEL_CONFIG names
    #[bpaf(positional("SETTINGS"))]
    settings: Option<PathBuf>,
}

/// Environment variable with the path of the settings file, used if the command line gives none.
const SETTINGS_VARIABLE: &str = "DRUMWHEEL_CONFIG";
/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() -> ExitCode {
    heap::return_freed_memory();
    // Limits the executor of the HTTP library to one thread. Only a request with
    // `Expect: 100-continue` to the operators' address makes the library start it. The environment
    // may be changed only while there is no other thread.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let args = args().run();
    let file = args
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(file) = file else {
        eprintln!(
            "drumwheel-node: no settings file: give it as an argument or set {SETTINGS_VARIABLE}"
        );
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
    let result = daemon::run(
        cfg.clone(),
        adapter(&cfg),
        Box::new(move || Settings::load(&file)),
    );
    log.close();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("drumwheel-node: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The adapter for the configured platform; none if the VMs are listed rather than registered.
fn adapter(cfg: &Settings) -> Option<Box<dyn Adapter>> {
    match cfg.fleet {
        FleetSource::Listed => None,
        FleetSource::Registered => {
            let address = *cfg.platform.first()?;
            Some(Box::new(adapter::Platform::new(address)))
        }
    }
}
