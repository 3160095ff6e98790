//! `drumwheel`: the operators' command line.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::command().run();
    async_std::task::block_on(cmd::run(command))
}
